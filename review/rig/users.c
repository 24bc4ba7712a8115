/* Jobs and their users. */
#include <stdlib.h>
#include <string.h>

#include "rig.h"
#include "net/clock.h"
#include "wire/names.h"

#define SUBMIT_TIMEOUT_S 5.0
#define POLL_TIMEOUT_S 2.0
#define RETRY_S 1.0
#define ACCEPT_WITHIN_S 60.0

enum user_call { USER_SUBMIT, USER_POLL, USER_CANCEL };

static void format_id(char id[ID_MAX], int number)
{
	snprintf(id, ID_MAX, W_JOB_PREFIX "%06d", number);
}

static struct standin_job *find_job(struct rig *rig, int number)
{
	char id[ID_MAX];

	format_id(id, number);
	return standin_job_find(&rig->standin, id);
}

struct standin_job *rig_add_job(struct rig *rig, int number, enum job_kind kind, uint32_t tasks,
				double cpus, double mem_gb, double run_s)
{
	struct standin_job *job = calloc(1, sizeof(*job));
	struct job_spec *spec = &job->spec;

	format_id(spec->id, number);
	snprintf(spec->class_name, sizeof(spec->class_name), "review");
	snprintf(spec->team, sizeof(spec->team), "%s", rig->conf.teams[0].name);
	snprintf(spec->image, sizeof(spec->image), "img-01");
	spec->kind = kind;
	spec->priority = PRIO_NORMAL;
	spec->task_count = tasks;
	spec->cpus = cpus;
	spec->mem_gb = mem_gb;
	spec->estimate_s = kind == JOB_SERVICE ? 0 : run_s;
	spec->deadline_s = -1;
	job->run_s = run_s;
	job->accepted_at = job->answered_at = job->known_cancelled_at = -1;
	job->known_done_at = job->began_at = job->idle_room_since = -1;
	job->done = calloc(1, tasks / 8 + 1);
	HASH_ADD_STR(rig->standin.jobs, spec.id, job);
	return job;
}

static void send_call(struct rig *rig, enum user_call kind, int number, int controller,
		      const char *path, const char *body)
{
	struct net_call call = {
	    .id = (uint64_t)kind << 56 | (uint64_t)number << 40 | rig->next_user_call++,
	    .addr = rig->controllers[controller].front,
	    .method = kind == USER_POLL ? "GET" : "POST",
	    .path = path,
	    .body = body,
	    .len = strlen(body),
	    .timeout_s = kind == USER_POLL ? POLL_TIMEOUT_S : SUBMIT_TIMEOUT_S,
	};

	rig->user_call_sent_at[call.id % RIG_USER_CALLS] = net_now();
	rig_note(rig, "user -> node-%d %s %s %s", controller, call.method, path, body);
	net_send(rig->net, &call);
}

void rig_submit(struct rig *rig, int number, int controller)
{
	struct standin_job *job = find_job(rig, number);
	char *body = wire_serialize(wire_job_encode(&job->spec));

	job->submitted = true;
	send_call(rig, USER_SUBMIT, number, controller, W_PATH_JOBS, body);
	free(body);
}

void rig_poll(struct rig *rig, int number, int controller)
{
	char path[RIG_PATH];

	snprintf(path, sizeof(path), W_PATH_JOBS "/" W_JOB_PREFIX "%06d", number);
	send_call(rig, USER_POLL, number, controller, path, "");
}

void rig_cancel(struct rig *rig, int number, int controller)
{
	char path[RIG_PATH];

	find_job(rig, number)->cancel_requested = true;
	snprintf(path, sizeof(path), W_PATH_JOBS "/" W_JOB_PREFIX "%06d" W_PATH_CANCEL, number);
	send_call(rig, USER_CANCEL, number, controller, path, "");
}

bool rig_submit_until_accepted(struct rig *rig, int number, int except)
{
	struct standin_job *job = find_job(rig, number);
	double until = net_now() + ACCEPT_WITHIN_S;

	for (int i = 0; !job->accepted && net_now() < until; i++) {
		if (i % RIG_CONTROLLERS == except)
			continue;
		rig_submit(rig, number, i % RIG_CONTROLLERS);
		for (int wait = 0; wait < 10 && !job->accepted; wait++)
			rig_run(rig, RETRY_S / 10);
	}
	return job->accepted;
}

int rig_running(const struct standin_job *job)
{
	int running = 0;

	for (const struct standin_task *task = job->tasks; task; task = task->job_next)
		running += task->state == TASK_RUNNING;
	return running;
}

bool rig_rules_broken(struct rig *rig)
{
	bool broken = false;

	for (int rule = 0; rule <= RULE_WENT_BACK; rule++) {
		if (!rig->standin.rules_broken[rule])
			continue;
		rig_note(rig, "rule %s broken %d times: %s", rule_names[rule],
			 rig->standin.rules_broken[rule], rig->standin.broken_rule_message);
		broken = true;
	}
	return broken;
}
