/* The controllers' processes: start, crash, freeze, and what reaches their cores. */
#ifndef PLOVERLOFT_RUNNER_CONTROLLERS_H
#define PLOVERLOFT_RUNNER_CONTROLLERS_H

#include "world.h"

/* Configures and starts all controllers of the scenario. */
void controllers_start_all(struct world *world);
/* Restarts those whose time has come and ticks the cores of those that run. */
void controllers_tick(struct world *world);
/* Frees the cores and what configuring them allocated. */
void controllers_free(struct world *world);

/* Ends the process and with it the core; it starts again after `down_s` seconds. Does nothing if
 * it is down already. */
void controller_crash(struct world *world, int index, double down_s);
/* Crashes the controller if it has reached the step that the scenario names (crashon). */
void controller_crash_at_step(struct world *world, int index);

/* Hand a request, or the answer to a call, to the core of a controller that is up. */
void controller_request(struct world *world, int index, const struct core_request *request);
void controller_answer(struct world *world, int index, const struct core_answer *answer);

/* The controller of this host number; NULL if the host is none. */
struct controller *controller_of_host(struct world *world, int host);
/* The index of a leader; -1 if there is none. */
int controller_leader(struct world *world);
/*
 * The index for a word of a scenario: a number, "leader" or "follower" (the one after the leader).
 * If there is none, fails the scenario and returns 0.
 */
int controller_named(struct world *world, const char *word);
/* When a frozen controller reads this message, in seconds; 0: it is not frozen. */
double controller_wake_time(struct world *world, const struct message *message);

#endif
