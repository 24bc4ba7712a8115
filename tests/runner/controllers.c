/* Simulates the controllers' processes. Each has its own core and its own clock. */
#include "controllers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "outbox.h"
#include "util/xalloc.h"

/* The readings of the clocks at the start of a scenario. */
#define STEADY_CLOCK_START_S 1000
#define WALL_CLOCK_START_S 1.8e9

/* Time after a freeze until the controller's next tick, before which it reads the messages that
 * wait for it. */
#define WAKE_DELAY_S 1e-3
/* A report that waited during a freeze is read this share of its waiting time after the end of the
 * freeze: the newest report is read first. */
#define WAKE_REPORT_SHARE 1e-6

#define MS_PER_S 1000

static struct core_time controller_time(const struct world *world, int index)
{
	struct core_time time = {
	    .steady = world->now_s + STEADY_CLOCK_START_S,
	    .wall = world->now_s + WALL_CLOCK_START_S + world->controllers[index].clock_skew_s,
	};

	return time;
}

static void tick(struct world *world, int index)
{
	core_tick(world->controllers[index].core, controller_time(world, index));
	outbox_send(world, index);
}

static uint64_t core_seed(const struct world *world, int index)
{
	return world->seed * 1000 + (uint64_t)index * 10 + world->controllers[index].incarnation;
}

static void start(struct world *world, int index)
{
	struct controller *controller = &world->controllers[index];

	controller->up = true;
	controller->incarnation++;
	controller->conf.hold_format = controller->keeps_previous_format;
	controller->core =
	    core_new(&controller->conf, core_seed(world, index), controller_time(world, index));
	tick(world, index);
}

static void controller_name(int index, char *name, size_t size)
{
	snprintf(name, size, "node-%d", index);
}

static void peer_address(int index, char *address, size_t size)
{
	snprintf(address, size, "10.0.0.%d:8081", index + 1);
}

static void configure_peers(const struct world *world, int index, struct conf *conf)
{
	conf->peer_count = 0;
	conf->peers = xcalloc((size_t)world->controller_count, sizeof(*conf->peers));
	for (int i = 0; i < world->controller_count; i++) {
		struct conf_peer *peer;

		if (i == index)
			continue;
		peer = &conf->peers[conf->peer_count++];
		controller_name(i, peer->name, sizeof(peer->name));
		peer_address(i, peer->addr, sizeof(peer->addr));
	}
}

static void configure(struct world *world, int index)
{
	struct controller *controller = &world->controllers[index];
	struct conf *conf = &controller->conf;

	*conf = world->conf;
	controller_name(index, conf->name, sizeof(conf->name));
	controller_name(index, world->standin.controller_names[index],
			sizeof(world->standin.controller_names[index]));
	snprintf(conf->front_addr, sizeof(conf->front_addr), "10.0.0.%d:8080", index + 1);
	peer_address(index, conf->back_addr, sizeof(conf->back_addr));
	configure_peers(world, index, conf);
	/* The clock of the first controller is late by half of the allowed skew, that of the second
	 * is exact, and that of the third is ahead by half. */
	controller->clock_skew_s = (index - 1) * world->conf.skew_ms / (2 * MS_PER_S);
}

void controllers_start_all(struct world *world)
{
	world->standin.controller_count = world->controller_count;
	for (int i = 0; i < world->controller_count; i++)
		configure(world, i);
	for (int i = 0; i < world->controller_count; i++)
		start(world, i);
}

void controllers_tick(struct world *world)
{
	for (int i = 0; i < world->controller_count; i++) {
		const struct controller *controller = &world->controllers[i];

		if (!controller->up && world->now_s >= controller->restart_at_s)
			start(world, i);
		if (controller->up && world->now_s >= controller->frozen_until_s + WAKE_DELAY_S)
			tick(world, i);
	}
}

void controllers_free(struct world *world)
{
	for (int i = 0; i < world->controller_count; i++) {
		if (world->controllers[i].up)
			core_free(world->controllers[i].core);
		free(world->controllers[i].conf.peers);
	}
}

void controller_crash(struct world *world, int index, double down_s)
{
	struct controller *controller = &world->controllers[index];

	if (!controller->up)
		return;
	core_free(controller->core);
	controller->core = NULL;
	controller->up = false;
	controller->restart_at_s = world->now_s + down_s;
}

void controller_crash_at_step(struct world *world, int index)
{
	const struct controller *controller = &world->controllers[index];
	struct election_crash *crash = &world->election_crash;

	if (!controller->up || crash->times_left <= 0)
		return;
	if (!inspect_reached_step(controller->core, crash->step))
		return;
	crash->times_left--;
	controller_crash(world, index, crash->down_s);
}

void controller_connection_closed(struct world *world, int index, uint64_t connection)
{
	core_connection_closed(world->controllers[index].core, controller_time(world, index),
			       connection);
}

void controller_request(struct world *world, int index, const struct core_request *request)
{
	core_request(world->controllers[index].core, controller_time(world, index), request);
}

void controller_answer(struct world *world, int index, const struct core_answer *answer)
{
	core_answer(world->controllers[index].core, controller_time(world, index), answer);
}

struct controller *controller_of_host(struct world *world, int host)
{
	return host < STANDIN_CONTROLLERS_MAX ? &world->controllers[host] : NULL;
}

int controller_leader(struct world *world)
{
	for (int i = 0; i < world->controller_count; i++)
		if (world->controllers[i].up && inspect_leads(world->controllers[i].core))
			return i;
	return -1;
}

int controller_named(struct world *world, const char *word)
{
	int index;

	if (!strcmp(word, "leader"))
		index = controller_leader(world);
	else if (!strcmp(word, "follower"))
		index = (controller_leader(world) + 1) % world->controller_count;
	else
		index = atoi(word);
	if (index >= 0 && index < world->controller_count)
		return index;
	world_fail(world, "controller \"%s\" does not exist: there are %d%s", word,
		   world->controller_count,
		   controller_leader(world) < 0 ? ", and none of them leads" : "");
	return 0;
}

double controller_wake_time(struct world *world, const struct message *message)
{
	const struct controller *controller = controller_of_host(world, message->to);
	double frozen_until_s;

	if (!controller || !controller->up || world->now_s >= controller->frozen_until_s)
		return 0;
	frozen_until_s = controller->frozen_until_s;
	if (message->kind == MESSAGE_REPORT)
		return frozen_until_s + WAKE_REPORT_SHARE * (frozen_until_s - message->due_at_s);
	return frozen_until_s + WAKE_DELAY_S / 2;
}
