/*
 * The inputs and outputs of the core, and its periodic work. Passes inputs to the folders of
 * src/core that handle them, and sets up the events between the folders (see runtime/events.h).
 */
#include "core/core.h"

#include <stdlib.h>
#include <string.h>

#include "core/agents/agent_restart.h"
#include "core/api/forwarding.h"
#include "core/api/peer_requests.h"
#include "core/scheduling/reservation.h"
#include "core/state.h"
#include "util/xalloc.h"
#include "wire/names.h"

static void clear_machine(struct core *core, struct machine *machine)
{
	struct binding *binding, *next;

	DL_FOREACH_SAFE2 (machine->bindings, binding, next, machine_next)
		free(binding);
	machine_free(core, machine);
}

static void clear_machines(struct core *core)
{
	struct machine *machine, *next;

	core->agents.command_queue = NULL;
	MACHINES_FOR_EACH (core, machine, next)
		clear_machine(core, machine);
}

static void clear_jobs(struct core *core)
{
	struct job *job, *next;

	JOBS_FOR_EACH (core, job, next)
		job_free(core, job);
}

static void clear_team_usage(struct core *core)
{
	for (size_t i = 0; i < core->conf->team_count; i++) {
		core->teams[i].cpus = 0;
		core->teams[i].gpus = 0;
	}
}

/* Drops the state that only a leader has. What the next leader needs is in the records. */
static void leader_state_clear(struct core *core)
{
	write_queue_clear(core);
	autoscale_clear(core);
	tombstones_clear(core);
	format_clear(core);
	clear_machines(core);
	clear_jobs(core);
	clear_team_usage(core);
	jobs_watch_clear(core);
	waiting_demands_clear(core);
	core->cycles.requested = false;
	core->cycles.attempt_counter = 0;
}

static void on_machine_removed(struct core *core, struct machine *machine)
{
	long_poll_end(core, machine);
	replica_supervision_remove(core, machine);
	report_cache_remove(&core->agents.report_cache, &machine->agent.cached_report);
}

static void on_token_renewed(struct core *core)
{
	core->cycles.attempt_counter = 0;
	agents_on_token_renewed(core);
}

static const struct core_events events = {
    .task_record_changed = write_queue_add_chunk,
    .job_ended = write_queue_add_final,
    .leadership_won = recovery_start,
    .leadership_lost = leader_state_clear,
    .token_renewed = on_token_renewed,
    .final_record_committed = job_index_set_final,
    .placement_needed = cycle_request,
    .commands_due = commands_request,
    .replicas_changed = replica_supervision_update,
    .machine_removed = on_machine_removed,
    .job_removed = reservation_release,
    .machine_given_up = autoscale_request_scan,
    .wrap_forwarded_answer = forwarding_wrap_answer,
};

static void init_random(struct core *core, uint64_t seed)
{
	core->rand48[0] = (unsigned short)seed;
	core->rand48[1] = (unsigned short)(seed >> 16);
	core->rand48[2] = (unsigned short)(seed >> 32);
}

static void init_teams(struct core *core)
{
	const struct conf *conf = core->conf;

	core->teams = xcalloc(conf->team_count + 1, sizeof(*core->teams));
	for (size_t i = 0; i < conf->team_count; i++)
		core->teams[i].conf = &conf->teams[i];
}

static void init_share_switching(struct core *core)
{
	core->share_switching.peer_live =
	    xcalloc(core->conf->peer_count + 1, sizeof(*core->share_switching.peer_live));
}

struct core *core_new(const struct conf *conf, uint64_t seed, struct core_time now)
{
	struct core *core = xcalloc(1, sizeof(*core));

	core->conf = conf;
	core->events = &events;
	core->now = now.steady;
	core->wall = now.wall;
	core->next_call = 1;
	election_init(core);
	core->store_answered_at = core->now;
	init_random(core, seed);
	init_teams(core);
	init_share_switching(core);
	peer_link_init(core, seed);
	api_init(core);
	return core;
}

/* The steady time of the core never goes back. */
static void set_time(struct core *core, struct core_time now)
{
	if (now.steady > core->now)
		core->now = now.steady;
	core->wall = now.wall;
}

/* The answer "method" means that the path does not allow the method. */
static void handle_heartbeat(struct core *core, const struct core_request *request)
{
	if (!strcmp(request->method, "POST"))
		agents_handle_heartbeat(core, request);
	else
		core_reply_error(core, request->connection, STATUS_METHOD_NOT_ALLOWED, 0, "method");
}

/* Handles a request of another controller, from the back listener. */
static void handle_back_request(struct core *core, const struct core_request *request)
{
	if (!strcmp(request->path, SHARE_SWITCHING_PATH))
		share_switching_request(core, request);
	else
		peer_requests_receive(core, request);
}

void core_request(struct core *core, struct core_time now, const struct core_request *request)
{
	set_time(core, now);
	if (!strcmp(request->path, W_PATH_HEARTBEAT))
		handle_heartbeat(core, request);
	else if (request->side == CORE_BACK)
		handle_back_request(core, request);
	else
		api_request(core, request);
	core_tick(core, now);
}

/* Splits `status` of struct core_answer into the outcome of the call and the HTTP status. */
static struct call_answer to_call_answer(const struct core_answer *answer)
{
	struct call_answer result = {CALL_ANSWERED, answer->status, answer->body, answer->len};

	if (answer->status > 0)
		return result;
	result.outcome = answer->status < 0 ? CALL_NOT_SENT : CALL_UNANSWERED;
	result.status = 0;
	return result;
}

void core_answer(struct core *core, struct core_time now, const struct core_answer *answer)
{
	struct call_answer result = to_call_answer(answer);

	set_time(core, now);
	if (core_call_end(core, answer->id, &result))
		core_tick(core, now);
}

void core_connection_closed(struct core *core, struct core_time now, uint64_t connection)
{
	set_time(core, now);
	long_poll_connection_closed(core, connection);
}

static void leader_tick(struct core *core)
{
	jobs_watch_tick(core);
	machines_tick(core);
	replica_supervision_tick(core);
	job_tick(core);
	cycle_tick(core);
	autoscale_tick(core);
	share_switching_tick(core);
	write_queue_tick(core);
	long_poll_tick(core);
	direct_commands_tick(core);
}

void core_tick(struct core *core, struct core_time now)
{
	set_time(core, now);
	election_tick(core);
	format_tick(core);
	catalog_tick(core);
	api_tick(core);
	peer_requests_tick(core);
	if (election_is_leader(core))
		leader_tick(core);
}

/*
 * Each tick function checks by itself whether its work is due. One coarse interval between ticks is
 * enough for all tick functions but that of scheduling cycles.
 */
double core_next_tick_at(const struct core *core)
{
	double periodic = core->now + TICK_S;

	if (election_is_leader(core) && core->cycles.requested && core->cycles.next_at < periodic)
		return core->cycles.next_at;
	return periodic;
}

struct core_action *core_pop_action(struct core *core)
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

	leader_state_clear(core);
	api_clear(core);
	peer_requests_clear(core);
	while ((action = core_pop_action(core)))
		core_action_free(action);
	core_calls_clear(core);
	catalog_free(core);
	peer_link_clear(core);
	free(core->teams);
	free(core->share_switching.peer_live);
	free(core);
}
