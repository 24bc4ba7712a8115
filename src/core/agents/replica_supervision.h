/*
 * Supervises the machines with replicas of services. Each machine is probed about every second, so
 * that the replicas of a failed machine are started elsewhere long before its agent's lease has
 * expired.
 */
#ifndef PLOVERLOFT_REPLICA_SUPERVISION_H
#define PLOVERLOFT_REPLICA_SUPERVISION_H

#include <stdbool.h>

#include "core/runtime/call.h"

struct machine;

/* The machines with replicas and the schedule of their checks. */
struct replica_supervision {
	struct machine *machines; /* machines with replicas, longest unchecked first */
	int count;		  /* length of `machines` */
	struct rate_limiter probe_limiter;
	double next_check_at; /* steady seconds; no machine is checked before this time */
};

/*
 * Called when the number of replicas on the machine has changed. Begins to supervise the machine,
 * or ends the supervision when the machine has no replicas left.
 */
void replica_supervision_update(struct core *core, struct machine *machine);
/* Ends the supervision of the machine. Must be called before the machine is freed. */
void replica_supervision_remove(struct core *core, struct machine *machine);
/*
 * True if replicas have to be moved: the last scan found replicas on machines that they must leave,
 * or a machine with replicas got a preemption notice since.
 */
bool replicas_must_move(const struct core *core);
/* Checks the machines with replicas: probes those whose probe is due, within the rate limit, and
 * gives up those that failed. */
void replica_supervision_tick(struct core *core);
/*
 * True if replicas must be moved off the machine while they still run: it has a preemption notice,
 * it is being drained, or its heartbeats do not arrive, so that its agent's lease will expire.
 */
bool replica_must_move(const struct core *core, const struct machine *machine);

#endif
