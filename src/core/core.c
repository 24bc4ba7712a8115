#include "core/core.h"

#include <stdlib.h>
#include <string.h>

#include "core/agents/agent_restart.h"
#include "core/api/forwarding.h"
#include "core/api/peer_requests.h"
#include "core/scheduling/cycle.h"
#include "core/state.h"
#include "util/log.h"
#include "util/xalloc.h"
#include "wire/names.h"

/* All that only a leader knows; what the next one needs is in the records. */
static void leader_state_clear(struct core *core)
{
	struct machine *machine, *mtmp;
	struct job *job, *jtmp;

	write_queue_clear(core);
	autoscale_clear(core);
	tombstones_clear(core);
	format_clear(core);
	core->agents.command_queue = NULL;
	MACHINES_FOR_EACH (core, machine, mtmp) {
		struct binding *binding, *tmp;

		DL_FOREACH_SAFE2 (machine->bindings, binding, tmp, machine_next)
			free(binding);
		machine_free(core, machine);
	}
	JOBS_FOR_EACH (core, job, jtmp)
		job_free(core, job);
	for (size_t i = 0; i < core->conf->nteams; i++)
		core->teams[i].cpus = core->teams[i].gpus = 0;
	core->jobs_watch.in_flight = false;
	core->cycles.requested = false;
	core->write_queue.new_token_wanted = false;
	core->cycles.attempt_counter = 0;
}

static void on_machine_forgotten(struct core *core, struct machine *machine)
{
	replica_supervision_remove(core, machine);
	report_cache_remove(&core->agents.report_cache, &machine->agent.cached_report);
}

static void on_token_renewed(struct core *core)
{
	core->cycles.attempt_counter = 0;
	agents_token_renewed(core);
}

static const struct core_events events = {
    .task_record_changed = write_queue_add_chunk,
    .job_over = write_queue_add_final,
    .leadership_won = recovery_start,
    .leadership_lost = leader_state_clear,
    .token_renewed = on_token_renewed,
    .job_finished = job_index_note_final,
    .placement_needed = cycle_request,
    .commands_due = commands_request,
    .replicas_changed = replica_supervision_update,
    .machine_forgotten = on_machine_forgotten,
    .job_forgotten = reservation_release,
    .machine_given_up = autoscale_request_scan,
    .wrap_forwarded_answer = forwarding_wrap_answer,
};

struct core *core_new(const struct conf *conf, uint64_t seed, struct core_time now)
{
	struct core *core = xcalloc(1, sizeof(*core));

	core->conf = conf;
	core->events = &events;
	core->now = now.steady;
	core->wall = now.wall;
	core->next_call = 1;
	core->election.format = FORMAT_LARGE_CHUNKS;
	core->election.peers_confirmed_at = -1;
	core->peers.incarnation = seed;
	core->rand48[0] = (unsigned short)seed;
	core->rand48[1] = (unsigned short)(seed >> 16);
	core->rand48[2] = (unsigned short)(seed >> 32);
	core->teams = xcalloc(conf->nteams + 1, sizeof(*core->teams));
	core->peers.list = xcalloc(conf->npeers + 1, sizeof(*core->peers.list));
	for (size_t i = 0; i < conf->npeers; i++)
		core->peers.list[i].confirmed_until = -1;
	core->store_answered_at = core->now;
	api_init(core);
	core->share_switching.peer_live =
	    xcalloc(conf->npeers + 1, sizeof(*core->share_switching.peer_live));
	for (size_t i = 0; i < conf->nteams; i++)
		core->teams[i].conf = &conf->teams[i];
	return core;
}

static void set_time(struct core *core, struct core_time now)
{
	if (now.steady > core->now)
		core->now = now.steady;
	core->wall = now.wall;
}

void core_request(struct core *core, struct core_time now, const struct core_request *request)
{
	set_time(core, now);
	if (!strcmp(request->path, W_PATH_HEARTBEAT)) {
		if (strcmp(request->method, "POST"))
			core_reply_error(core, request->conn, STATUS_METHOD_NOT_ALLOWED, 0,
					 "method");
		else
			agent_heartbeat(core, request);
	} else if (request->side == CORE_BACK && !strcmp(request->path, SHARE_SWITCHING_PATH)) {
		share_switching_request(core, request);
	} else if (request->side == CORE_BACK) {
		peers_request(core, request);
	} else {
		api_request(core, request);
	}
	core_tick(core, now);
}

/* The status of the interface says two things in one; inside, they are apart. */
static struct call_answer call_answer_of(const struct core_answer *a)
{
	struct call_answer answer = {CALL_ANSWERED, a->status, a->body, a->len};

	if (a->status <= 0) {
		answer.outcome = a->status < 0 ? CALL_NOT_SENT : CALL_UNANSWERED;
		answer.status = 0;
	}
	return answer;
}

void core_answer(struct core *core, struct core_time now, const struct core_answer *a)
{
	struct call_answer answer = call_answer_of(a);
	struct call *call;

	set_time(core, now);
	HASH_FIND(hh, core->calls, &a->id, sizeof(a->id), call);
	if (!call)
		return;
	HASH_DEL(core->calls, call);
	call->on_answer(core, call, &answer);
	free(call);
	core_tick(core, now);
}

void core_tick(struct core *core, struct core_time now)
{
	set_time(core, now);
	election_tick(core);
	format_tick(core);
	catalog_tick(core);
	api_tick(core);
	peers_tick(core);
	if (core->election.role != ROLE_LEADER)
		return;
	jobs_watch_tick(core);
	machines_tick(core);
	replica_supervision_tick(core);
	job_tick(core);
	cycle_tick(core);
	autoscale_tick(core);
	share_switching_tick(core);
	write_queue_tick(core);
	direct_commands_tick(core);
}

/* The parts look at their own due times; a coarse beat covers them, rounds and commits come first.
 */
double core_next(const struct core *core)
{
	double next = core->now + TICK_S;

	if (core->election.role == ROLE_LEADER && core->cycles.requested &&
	    core->cycles.next_at < next)
		next = core->cycles.next_at;
	return next;
}

struct core_action *core_take(struct core *core)
{
	struct core_action *action = core->actions;

	if (action)
		DL_DELETE(core->actions, action);
	return action;
}

void core_action_free(struct core_action *action)
{
	free(action->path);
	free(action->body);
	free(action);
}

void core_free(struct core *core)
{
	struct core_action *action;
	struct call *call, *tmp;

	leader_state_clear(core);
	api_clear(core);
	peers_clear(core);
	while ((action = core_take(core)))
		core_action_free(action);
	HASH_ITER (hh, core->calls, call, tmp) {
		HASH_DEL(core->calls, call);
		if (call->free_arg)
			call->free_arg(call->arg);
		free(call);
	}
	catalog_free(core);
	free(core->teams);
	free(core->share_switching.peer_live);
	free(core->peers.list);
	free(core);
}
