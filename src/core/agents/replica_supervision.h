/*
 * Supervision of the machines that hold replicas of services: each is asked every second whether it
 * still answers, so that a lost replica starts elsewhere long before its worker's lease has ended.
 */
#ifndef PLOVERLOFT_REPLICA_SUPERVISION_H
#define PLOVERLOFT_REPLICA_SUPERVISION_H

#include <stdbool.h>

#include "core/runtime/call.h"

struct machine;

struct replica_supervision {
	struct machine *machines; /* that hold replicas, in the order of their turns */
	int count;
	struct rate_limiter probe_limiter;
	double next_at; /* steady; the next turn */
};

/* The number of replicas that the machine holds has changed. */
void replica_supervision_update(struct core *core, struct machine *machine);
/* The machine is forgotten. */
void replica_supervision_remove(struct core *core, struct machine *machine);
/* At the last scan, some replicas were on machines that they have to leave. */
bool replicas_must_move(const struct core *core);
/* Asks the machines whose turn it is, and has those deleted that are gone. */
void replica_supervision_tick(struct core *core);
/*
 * Whether replicas are to be moved off the machine while they still run: it has a notice, is to be
 * returned, or its reports reach nobody, so that its worker's lease will end.
 */
bool replica_must_move(const struct core *core, const struct machine *machine);

#endif
