/* The controllers' processes: they start, crash and freeze, and pass inputs to their cores. */
#ifndef PLOVERLOFT_RUNNER_CONTROLLERS_H
#define PLOVERLOFT_RUNNER_CONTROLLERS_H

#include "world.h"

/* Configures and starts all controllers of the scenario. */
void controllers_start_all(struct world *world);
/* Restarts the controllers whose downtime is over, and ticks the cores of those that are up and not
 * frozen. */
void controllers_tick(struct world *world);
/* Frees the cores and their settings. */
void controllers_free(struct world *world);

/* Ends the process and frees its core. The controller is restarted after `down_s` seconds. Nothing
 * happens if it is down already. */
void controller_crash(struct world *world, int index, double down_s);
/* Crashes the controller if it is at the step that a crash_at_step line names. */
void controller_crash_at_step(struct world *world, int index);

/* Passes a request to the core of a controller, which must be up. */
/* The machine closes the connection on which it has sent its newest report to the controller. */
void controller_connection_closed(struct world *world, int index, uint64_t connection);
void controller_request(struct world *world, int index, const struct core_request *request);
/* Passes the end of a call to the core of a controller, which must be up. */
void controller_answer(struct world *world, int index, const struct core_answer *answer);

/* Returns the controller with this host number; NULL if the host is not a controller. */
struct controller *controller_of_host(struct world *world, int host);
/* Returns the index of a controller that leads; -1 if none does. */
int controller_leader(struct world *world);
/*
 * Returns the index of the controller that a word of a scenario names: a number, "leader", or
 * "follower" for the controller after the leader. If there is no such controller, this fails the
 * scenario and returns 0.
 */
int controller_named(struct world *world, const char *word);
/* Returns the time at which a frozen controller will read this message; 0: it reads it now. */
double controller_wake_time(struct world *world, const struct message *message);

#endif
