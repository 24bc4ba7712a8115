/*
 * Supervision of the machines that hold replicas of services: each is probed about every second, so
 * that a failed replica starts elsewhere long before its agent's lease has ended.
 */
#ifndef PLOVERLOFT_REPLICA_SUPERVISION_H
#define PLOVERLOFT_REPLICA_SUPERVISION_H

#include <stdbool.h>

#include "core/runtime/call.h"

struct machine;

struct replica_supervision {
	struct machine *machines; /* those with replicas, longest unchecked first */
	int count;		  /* of `machines` */
	struct rate_limiter probe_limiter;
	double next_at; /* steady; no check before */
};

/* The number of replicas that the machine holds has changed. */
void replica_supervision_update(struct core *core, struct machine *machine);
/* The machine is about to be freed. */
void replica_supervision_remove(struct core *core, struct machine *machine);
/* At the last scan, some replicas were on machines that they have to leave. */
bool replicas_must_move(const struct core *core);
/* Probes the machines that are due, as far as the rate goes, and gives up those that failed. */
void replica_supervision_tick(struct core *core);
/*
 * Whether replicas are to be moved off the machine while they still run: it has a preemption
 * notice, is to be returned, or its heartbeats do not arrive, so that its agent's lease will end.
 */
bool replica_must_move(const struct core *core, const struct machine *machine);

#endif
