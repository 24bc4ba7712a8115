/* The stand-ins of the workers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "core/state.h"
#include "wire/names.h"
#include "standins/private.h"

struct standin_machine *standin_machine_at(struct standin *s, const char *addr)
{
	int high, low;

	/* Most have the address that their number gives them. */
	if (sscanf(addr, "10.1.%d.%d:", &high, &low) == 2) {
		int i = high * 250 + low - 1;

		if (i >= 0 && i < s->nmachines && !strcmp(s->machines[i].addr, addr))
			return &s->machines[i];
	}
	for (int i = 0; i < s->nmachines; i++)
		if (!strcmp(s->machines[i].addr, addr))
			return &s->machines[i];
	return NULL;
}

struct standin_machine *standin_machine_add(struct standin *s, const char *type, const char *zone,
					    bool spot)
{
	struct standin_machine *m;

	if (s->nmachines == s->machines_cap)
		abort();
	m = &s->machines[s->nmachines];
	memset(m, 0, sizeof(*m));
	snprintf(m->id, sizeof(m->id), "vm-%06d", s->nmachines);
	snprintf(m->addr, sizeof(m->addr), "10.1.%d.%d:9000", s->nmachines / 250,
		 s->nmachines % 250 + 1);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	for (size_t i = 0; i < s->cloud.ntypes; i++)
		if (!strcmp(s->cloud.types[i].name, type))
			m->type = &s->cloud.types[i];
	if (!m->type)
		abort();
	m->spot = spot;
	m->power = POWER_BOOTING;
	m->rented_at = s->now;
	m->up_at = s->now + m->type->boot_s;
	m->notice_until = -1;
	s->nmachines++;
	return m;
}

static void worker_up(struct standin *s, struct standin_machine *m)
{
	m->power = POWER_UP;
	m->session = 1;
	m->lease_from = s->now;
	m->next_report = s->now;
	m->node = (int)((m - s->machines) % s->nnodes);
}

static void free_task(struct standin_task *t)
{
	if (t->of)
		DL_DELETE2(t->of->tasks, t, jprev, jnext);
	free(t);
}

void drop_tasks(struct standin_machine *m)
{
	while (m->tasks) {
		struct standin_task *t = m->tasks;

		m->tasks = t->next;
		free_task(t);
	}
}

void standin_machine_off(struct standin *s, struct standin_machine *m, bool deleted)
{
	m->power = deleted ? POWER_DELETED : POWER_OFF;
	m->off_at = s->now;
	drop_tasks(m);
}

void standin_machine_restart(struct standin *s, struct standin_machine *m)
{
	drop_tasks(m);
	m->session = 1;
	m->seq = m->token = m->reported_token = 0;
	m->report_out = false;
	m->lease_from = s->now;
	m->next_report = s->now + 0.2;
}

static json_t *report(struct standin *s, struct standin_machine *m)
{
	json_t *tasks = json_array(), *o;

	m->seq++;
	for (struct standin_task *t = m->tasks; t; t = t->next) {
		static const char *const states[] = {W_TASK_FETCHING, W_TASK_WAITING,
						     W_TASK_RUNNING, W_TASK_SAVING, W_TASK_EXITED};
		static const char *const whys[] = {
		    "",		 W_END_DONE,	W_END_STOPPED, W_END_PEERS_LOST, W_END_ALONE,
		    W_END_ERROR, W_END_NO_ROOM, W_END_BUSY,    W_END_UNKNOWN_JOB};

		o = json_pack("{s:o,s:I,s:s}", W_TASK, json_sprintf("%s/%u", t->job, t->task),
			      W_ATTEMPT, (json_int_t)t->attempt, W_STATE, states[t->state]);
		if (t->state == TASK_EXITED)
			json_object_set_new(o, W_END_REASON, json_string(whys[t->why]));
		if (t->kept)
			json_object_set_new(o, W_SAVED, json_true());
		json_array_append_new(tasks, o);
	}
	o = json_pack("{s:s,s:s,s:s,s:s,s:b,s:I,s:I,s:I,s:o}", W_MACHINE, m->id, W_ADDR, m->addr,
		      W_TYPE, m->type->name, W_ZONE, m->zone, W_SPOT, (int)m->spot, W_INCARNATION,
		      (json_int_t)m->session, W_SEQUENCE, (json_int_t)m->seq, W_TOKEN,
		      (json_int_t)m->token, W_TASKS, tasks);
	json_object_set_new(o, W_PREEMPTION_NOTICE,
			    m->notice_until >= 0 ? json_real(m->notice_until - s->now)
						 : json_null());
	return o;
}

static void exit_task(struct standin_machine *m, struct standin_task *t, enum task_end_reason why)
{
	t->state = TASK_EXITED;
	t->why = why;
	m->changed = true;
}

static bool done_before(const struct standin_job *j, uint32_t task)
{
	return j->done[task / 8] >> (task % 8) & 1;
}

static void mark_done(struct standin_job *j, uint32_t task)
{
	if (done_before(j, task))
		return;
	j->done[task / 8] |= (uint8_t)(1u << (task % 8));
	j->ndone++;
}

static enum task_end_reason refuse(struct standin *s, struct standin_machine *m, const char *job,
				   uint32_t task)
{
	struct standin_job *j = standin_job_find(s, job);
	double cpus = m->type->cpus, gpus = m->type->gpus, mem = m->type->mem_gb;

	if (!j || !j->asked || task >= j->spec.task_count)
		return END_UNKNOWN_JOB;
	for (struct standin_task *t = m->tasks; t; t = t->next) {
		struct standin_job *o = t->of;

		if (t->state == TASK_EXITED)
			continue;
		if (t->task == task && !strcmp(t->job, job))
			return END_BUSY;
		cpus -= o->spec.cpus;
		gpus -= o->spec.gpus;
		mem -= o->spec.mem_gb;
	}
	if (j->spec.cpus > cpus + 1e-6 || j->spec.gpus > gpus + 1e-6 || j->spec.mem_gb > mem + 1e-6)
		return END_NO_ROOM;
	return END_NONE;
}

static void start_task(struct standin *s, struct standin_machine *m, const char *job, uint32_t task,
		       uint64_t attempt)
{
	struct standin_task *t;
	enum task_end_reason no;

	for (t = m->tasks; t; t = t->next)
		if (t->task == task && t->attempt == attempt && !strcmp(t->job, job))
			return;
	no = refuse(s, m, job, task);
	if (no == END_UNKNOWN_JOB && !standin_job_find(s, job))
		return;
	t = zalloc(sizeof(*t));
	snprintf(t->job, sizeof(t->job), "%s", job);
	t->task = task;
	t->attempt = attempt;
	t->since = s->now;
	t->next = m->tasks;
	m->tasks = t;
	t->on = m;
	t->of = standin_job_find(s, job);
	if (t->of)
		DL_APPEND2(t->of->tasks, t, jprev, jnext);
	m->changed = true;
	if (no != END_NONE) {
		exit_task(m, t, no);
		return;
	}
	t->image_at = s->now + t->of->spec.image_gb / m->type->fetch_gb_per_s;
}

void standin_force_start(struct standin *s, struct standin_machine *m, const char *job,
			 uint32_t task)
{
	start_task(s, m, job, task, 999999999u + (uint64_t)task);
	m->tasks->state = TASK_RUNNING;
	check_start(s, m, m->tasks);
}

static void stop_task(struct standin *s, struct standin_machine *m, struct standin_task *t,
		      double grace)
{
	struct standin_job *j = t->of;

	if (t->state == TASK_EXITED || (t->state == TASK_SAVING && grace > 0))
		return;
	if (t->state == TASK_RUNNING && j->spec.checkpoint_s > 0 && grace >= j->spec.save_s) {
		t->state = TASK_SAVING;
		t->save_until = s->now + j->spec.save_s;
		m->changed = true;
		return;
	}
	exit_task(m, t, END_STOPPED);
}

static void forget_task(struct standin_machine *m, const char *job, uint32_t task, uint64_t attempt)
{
	for (struct standin_task **p = &m->tasks; *p; p = &(*p)->next) {
		struct standin_task *t = *p;

		if (t->state != TASK_EXITED || t->task != task || t->attempt != attempt ||
		    strcmp(t->job, job))
			continue;
		*p = t->next;
		free_task(t);
		m->changed = true;
		return;
	}
}

static void run_command(struct standin *s, struct standin_machine *m, json_t *o)
{
	const char *op = json_string_value(json_object_get(o, W_OP));
	const char *name = json_string_value(json_object_get(o, W_TASK));
	uint64_t attempt = (uint64_t)json_integer_value(json_object_get(o, W_ATTEMPT));
	char job[ID_MAX];
	uint32_t task;

	if (!op || !name || sscanf(name, "%47[^/]/%u", job, &task) != 2)
		abort();
	if (!strcmp(op, W_OP_START)) {
		start_task(s, m, job, task, attempt);
	} else if (!strcmp(op, W_OP_FORGET)) {
		forget_task(m, job, task, attempt);
	} else {
		for (struct standin_task *t = m->tasks; t; t = t->next)
			if (t->task == task && t->attempt == attempt && !strcmp(t->job, job))
				stop_task(s, m, t, json_number_value(json_object_get(o, W_GRACE)));
	}
}

static void run_commands(struct standin *s, struct standin_machine *m, json_t *o, uint64_t token)
{
	json_t *e;
	size_t i;

	if (token > m->token) {
		m->token = token;
		m->changed = true;
	}
	json_array_foreach (json_object_get(o, W_COMMANDS), i, e)
		run_command(s, m, e);
}

void standin_agent_request(struct standin *s, struct standin_machine *m, uint64_t handle,
			   const char *path, const char *body)
{
	json_t *o;
	uint64_t token;
	int status = 200;

	if (m->power != POWER_UP)
		return;
	s->shows += !strcmp(path, W_PATH_PROBE);
	s->directs += !strcmp(path, W_PATH_COMMANDS);
	if (!strcmp(path, W_PATH_PROBE)) {
		answer(s, handle, 200, report(s, m));
		return;
	}
	o = wire_parse(body, strlen(body));
	token = (uint64_t)json_integer_value(json_object_get(o, W_TOKEN));
	if (!json_object_get(o, W_TOKEN) || !json_object_get(o, W_INCARNATION))
		status = 400;
	else if (token < m->token ||
		 (uint64_t)json_integer_value(json_object_get(o, W_INCARNATION)) != m->session)
		status = 409;
	else
		run_commands(s, m, o, token);
	json_decref(o);
	answer(s, handle, status, report(s, m));
}

void standin_agent_answer(struct standin *s, int machine, uint64_t session, uint64_t seq,
			  int status, const char *body)
{
	struct standin_machine *m = &s->machines[machine];
	json_t *o;
	uint64_t token;

	if (m->power != POWER_UP || !m->report_out || m->report_seq != seq ||
	    m->report_session != session || m->session != session)
		return;
	m->report_out = false;
	o = body ? wire_parse(body, strlen(body)) : NULL;
	if (status == 200) {
		token = (uint64_t)json_integer_value(json_object_get(o, W_TOKEN));
		if (token && token >= m->token) {
			m->lease_from = m->report_sent;
			run_commands(s, m, o, token);
		}
	} else {
		const char *to = json_string_value(json_object_get(o, W_REPORT_TO));
		int node = -1;

		for (int i = 0; to && i < s->nnodes; i++)
			if (!strcmp(s->node_names[i], to))
				node = i;
		if (status == 421 && node >= 0 && node != m->node) {
			m->node = node;
			m->next_report = s->now + 0.1;
		} else {
			m->node = (m->node + 1) % s->nnodes;
			m->next_report = s->now + 1;
		}
	}
	json_decref(o);
}

static bool gang_complete(const struct standin_job *j, uint64_t attempt, enum task_state least)
{
	const struct standin_task *t;
	uint32_t n = 0;

	DL_FOREACH2 (j->tasks, t, jnext)
		n += t->attempt == attempt && t->state >= least &&
		     (t->state != TASK_EXITED || t->why == END_DONE || t->why == END_STOPPED);
	return n == j->spec.task_count;
}

static void task_step(struct standin *s, struct standin_machine *m, struct standin_task *t,
		      double dt)
{
	struct standin_job *j = t->of;
	bool gang = j->spec.kind == JOB_GANG;

	if (t->state == TASK_FETCHING && s->now >= t->image_at) {
		t->state = gang ? TASK_WAITING : TASK_RUNNING;
		t->since = s->now;
		check_start(s, m, t);
		m->changed = true;
		if (m->faulty || j->bad)
			exit_task(m, t, END_ERROR);
		else if (done_before(j, t->task) && j->spec.kind != JOB_SERVICE)
			exit_task(m, t, END_DONE);
		return;
	}
	if (t->state == TASK_WAITING) {
		if (gang_complete(j, t->attempt, TASK_WAITING)) {
			t->state = TASK_RUNNING;
			m->changed = true;
		} else if (s->now - t->since > s->conf->gang_wait_s) {
			exit_task(m, t, END_ALONE);
		}
		return;
	}
	if (t->state == TASK_SAVING && s->now >= t->save_until) {
		t->kept = true;
		exit_task(m, t, END_STOPPED);
		return;
	}
	if (t->state != TASK_RUNNING)
		return;
	if (gang && !gang_complete(j, t->attempt, TASK_RUNNING)) {
		if (t->stopped_at <= 0)
			t->stopped_at = s->now;
		if (s->now - t->stopped_at > s->conf->gang_peer_s)
			exit_task(m, t, END_PEERS_LOST);
		return;
	}
	t->progress += dt;
	if (t->progress >= j->run_s && j->spec.kind == JOB_SERVICE && j->ends != END_NONE)
		exit_task(m, t, j->ends);
	if (t->progress >= j->run_s && j->spec.kind != JOB_SERVICE) {
		for (uint32_t k = 0; k < j->spec.task_count; k++)
			if (k == t->task || gang) /* a gang completes together */
				mark_done(j, k);
		exit_task(m, t, END_DONE);
	}
}

#define SERVED_AFTER_S 5.0 /* seconds from a service's acceptance until its time counts */

/* Replica time that is asked of services, and what of it is served. */
void count_served(struct standin *s, double dt)
{
	struct standin_job *j, *tmp;
	const struct standin_task *t;

	HASH_ITER (hh, s->jobs, j, tmp) {
		bool counts = j->spec.kind == JOB_SERVICE && j->accepted && !j->cancel_asked &&
			      s->now - j->accepted_at > SERVED_AFTER_S;

		if (!counts)
			continue;
		j->replica_s += j->spec.task_count * dt;
		DL_FOREACH2 (j->tasks, t, jnext)
			if (t->state == TASK_RUNNING && !t->on->hanging)
				j->served_s += dt;
	}
}

static void worker_report(struct standin *s, struct standin_machine *m)
{
	bool due = s->now >= m->next_report;
	char *text;

	if (m->report_out && s->now - m->report_sent > 4) {
		m->report_out = false;
		m->node = (m->node + 1) % s->nnodes;
		m->next_report = s->now + 1;
		return;
	}
	if (m->report_out || (!due && !(m->changed && s->now - m->last_report >= 0.5 &&
					s->now - m->report_sent >= 0.5)))
		return;
	m->changed = false;
	m->report_out = true;
	m->report_sent = m->last_report = s->now;
	m->next_report = s->now + s->conf->report_s;
	text = dump(report(s, m));
	m->report_seq = m->seq;
	m->report_session = m->session;
	s->ops->report(s->ctx, (int)(m - s->machines), m->node, text);
	free(m->report_text);
	m->report_text = text;
}

void worker_tick(struct standin *s, struct standin_machine *m, double dt)
{
	if (m->power == POWER_BOOTING && s->now >= m->up_at)
		worker_up(s, m);
	if (m->power != POWER_UP || m->hanging)
		return;
	if (m->notice_until >= 0 && s->now >= m->notice_until) {
		standin_machine_off(s, m, true);
		return;
	}
	if (s->now - m->lease_from > s->conf->lease_s) {
		drop_tasks(m);
		m->session++;
		m->lease_from = s->now;
		m->report_out = false;
		m->changed = true;
	}
	for (struct standin_task *t = m->tasks; t; t = t->next)
		task_step(s, m, t, dt);
	worker_report(s, m);
}
