/* Rules about what users are answered. */
#include <math.h>
#include <string.h>

#include "core/runtime/http_status.h"
#include "standins/job_fit.h"
#include "standins/rules.h"
#include "standins/standin.h"
#include "wire/names.h"

#define UNANSWERED_MAX_S 75.0 /* seconds without an answer once faults are over */

/* --- submissions --- */

static void check_can_run(struct standin *standin, const struct standin_job *job)
{
	if (!job_can_ever_run(standin, job))
		standin_rule_broken(standin, RULE_WRONG_JOB, "%s can't run", job->spec.id);
}

void standin_submission_answered(struct standin *standin, const char *id, int status)
{
	struct standin_job *job = standin_job_find(standin, id);
	bool accepted = status == STATUS_OK || status == STATUS_CREATED;
	bool refused = status == STATUS_BAD_REQUEST || status == STATUS_UNPROCESSABLE;

	if (accepted && !job->accepted) {
		job->accepted_at = standin->now;
		job->accepted = true;
		check_can_run(standin, job);
	} else if (refused && job->accepted) {
		standin_rule_broken(standin, RULE_FORGOTTEN, "%s submitted again: %d", id, status);
	}
}

/* --- lookups and cancellations --- */

/* A job's state as a user was shown it. */
struct shown_state {
	const char *name;
	bool done;
	bool cancelled;
	double sent_at;
};

static void check_done(struct standin *standin, const struct standin_job *job,
		       const struct shown_state *state)
{
	if (state->done && job->done_count < job->spec.task_count)
		standin_rule_broken(standin, RULE_NOT_DONE, "%s has %u of %u", job->spec.id,
				    job->done_count, job->spec.task_count);
}

/*
 * No answer to a lookup sent after an end or a cancellation was learned of may be older. An answer
 * to one sent before that may have overtaken, or been overtaken on the way.
 */
static void check_went_back(struct standin *standin, const struct standin_job *job,
			    const struct shown_state *state)
{
	bool undone = job->known_done && !state->done && state->sent_at >= job->done_at;
	bool revived =
	    job->known_cancelled && !state->cancelled && state->sent_at >= job->cancelled_at;
	bool unrequested = state->cancelled && !job->cancel_requested;

	if (undone || revived || unrequested)
		standin_rule_broken(standin, RULE_WENT_BACK, "%s is %s", job->spec.id, state->name);
}

typedef void state_check(struct standin *standin, const struct standin_job *job,
			 const struct shown_state *state);

static state_check *const state_checks[] = {check_done, check_went_back};

/* The first user learns of the job's end or cancellation. */
static void note_final_state(const struct standin *standin, struct standin_job *job,
			     const struct shown_state *state)
{
	if (state->done && !job->known_done) {
		job->known_done = true;
		job->done_at = standin->now;
	}
	if (state->cancelled && !job->known_cancelled) {
		job->known_cancelled = true;
		job->cancelled_at = standin->now;
	}
}

static void take_state(struct standin *standin, struct standin_job *job, const json_t *body,
		       double sent_at)
{
	const char *name = json_string_value(json_object_get(body, W_STATE));
	struct shown_state state = {
	    .name = name,
	    .done = !strcmp(name, W_JOB_DONE),
	    .cancelled = !strcmp(name, W_JOB_CANCELLED),
	    .sent_at = sent_at,
	};

	job->answered_at = standin->now;
	job->answered_running = (int)json_integer_value(json_object_get(body, W_RUNNING));
	for (size_t i = 0; i < sizeof(state_checks) / sizeof(*state_checks); i++)
		state_checks[i](standin, job, &state);
	note_final_state(standin, job, &state);
}

void standin_lookup_answered(struct standin *standin, const char *id, int status, const char *body,
			     double sent_at)
{
	struct standin_job *job = standin_job_find(standin, id);
	json_t *parsed;

	if (status == STATUS_NOT_FOUND && job && job->accepted)
		standin_rule_broken(standin, RULE_FORGOTTEN, "%s polled: 404", id);
	if (status != STATUS_OK)
		return;
	if (!job || !job->submitted) {
		standin_rule_broken(standin, RULE_INVENTED, "%s", id);
		return;
	}
	parsed = wire_parse(body, strlen(body));
	take_state(standin, job, parsed, sent_at);
	json_decref(parsed);
}

void standin_cancellation_answered(struct standin *standin, const char *id, int status,
				   const char *body, double sent_at)
{
	if (status == STATUS_OK)
		standin_lookup_answered(standin, id, status, body, sent_at);
}

/* --- all the time --- */

void standin_check_answers(struct standin *standin, double quiet_since)
{
	const struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next) {
		double since = fmax(quiet_since, fmax(job->accepted_at, job->answered_at));
		double unanswered_s = standin->now - since;

		if (job->accepted && unanswered_s > UNANSWERED_MAX_S)
			standin_rule_broken(standin, RULE_FORGOTTEN, "%s unanswered for %.0f s",
					    job->spec.id, unanswered_s);
	}
}
