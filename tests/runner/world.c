/* Initialises, runs and frees the simulated world of a scenario. */
#include "world.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clients.h"
#include "controllers.h"
#include "delivery.h"
#include "message_queue.h"
#include "network.h"
#include "outbox.h"
#include "util/xalloc.h"

#define STEP_S 0.05	      /* interval between ticks of the controllers */
#define TIME_TOLERANCE_S 1e-9 /* times that differ by less are equal */
#define STEP_TOLERANCE 1e-6   /* largest rounding error of simulated time, in steps */
#define DEFAULT_CONTROLLERS 3
#define DEFAULT_TEAM "core"

static void default_conf(struct conf *conf)
{
	snprintf(conf->store_addr, sizeof(conf->store_addr), "10.2.0.1:2379");
	snprintf(conf->cloud_addr, sizeof(conf->cloud_addr), "10.2.0.2:8443");
	conf->skew_ms = 200;
	conf->report_s = 2;
	conf->lease_s = 10;
	conf->gang_wait_s = 20;
	conf->gang_peer_s = 4;
	conf->cancel_s = 30;
	conf->limits.rps = 200;
	conf->limits.write_rps = 60;
	conf->limits.value_kb = 8;
	conf->limits.txn_ops = 16;
	conf->cloud_rps = 5;
	conf->inventory_lag_s = 3;
	conf->cores = 0.1;
	conf->mem_mb = 64;
	conf->max_connections = 1000;
	conf->idle_patience_s = -1;
	conf->headroom = -1;
}

void world_init(struct world *world, const char *scenario_path)
{
	static const struct standin_callbacks callbacks = {standin_reply, standin_report};

	memset(world, 0, sizeof(*world));
	world->scenario_path = scenario_path;
	world->controller_count = DEFAULT_CONTROLLERS;
	world->seed = 1;
	world->random_state[0] = 7;
	default_conf(&world->conf);
	standin_init(&world->standin, &callbacks, world, &world->conf);
}

void world_free(struct world *world)
{
	controllers_free(world);
	message_queue_free(world);
	network_cuts_free(world);
	clients_free(world);
	for (int i = 0; i < CAPTURED_MACHINES; i++) {
		free(world->captured_reports[i]);
		free(world->newest_commands[i]);
		free(world->captured_commands[i]);
		free(world->newest_starts[i].body);
		free(world->captured_starts[i].body);
	}
	peer_requests_free(world);
	watch_requests_free(world);
	standin_free(&world->standin);
	conf_free(&world->conf);
}

struct conf_team *world_add_team(struct world *world, const char *name)
{
	struct conf *conf = &world->conf;
	struct conf_team *team;

	conf->teams = xreallocarray(conf->teams, conf->team_count + 1, sizeof(*team));
	team = &conf->teams[conf->team_count++];
	memset(team, 0, sizeof(*team));
	snprintf(team->name, sizeof(team->name), "%s", name);
	return team;
}

double world_random(struct world *world)
{
	return erand48(world->random_state);
}

void world_fail(struct world *world, const char *format, ...)
{
	va_list arguments;

	fprintf(stderr, "%s:%d: at %.2f s: ", world->scenario_path, world->line_number,
		world->now_s);
	va_start(arguments, format);
	vfprintf(stderr, format, arguments);
	va_end(arguments);
	fputc('\n', stderr);
	world->failures++;
}

static void world_start(struct world *world)
{
	if (world->started)
		return;
	world->started = true;
	if (!world->conf.team_count)
		world_add_team(world, DEFAULT_TEAM);
	controllers_start_all(world);
}

static double next_step(double now_s)
{
	return (floor(now_s / STEP_S + STEP_TOLERANCE) + 1) * STEP_S;
}

/* True if a full second of simulated time passed in the step that ended at `now_s`. */
static bool second_began(double now_s)
{
	return floor(now_s) != floor(now_s - STEP_S);
}

void world_run(struct world *world, double until_s)
{
	world_start(world);
	while (world->now_s < until_s - TIME_TOLERANCE_S) {
		double next_s = fmin(until_s, next_step(world->now_s));

		network_deliver_until(world, next_s);
		world->now_s = next_s;
		if (world->standin.state_service.down && next_s >= world->state_outage_until_s)
			standin_state_set_outage(&world->standin, false);
		standin_tick(&world->standin, next_s);
		controllers_tick(world);
		if (second_began(next_s)) {
			clients_tick(world);
			standin_check_idle_room(&world->standin, world->faults_end_s);
		}
		clients_cancel_at_end(world);
		standin_check_answers(&world->standin, world->faults_end_s);
	}
}
