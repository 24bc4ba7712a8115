/*
 * Room kept for services whose time served is an aim: enough that a lost replica finds a place
 * without waiting for a machine to boot.
 */
#ifndef PLOVERLOFT_REPLICAS_H
#define PLOVERLOFT_REPLICAS_H

#include "core/state.h"

#define REPLICA_CLASSES_MAX                                                                        \
	16 /* classes that are looked at: more are left to rentals as work comes */

struct replica_class {
	const struct job_spec *spec; /* of one of its open jobs */
	uint32_t free;		     /* replicas that would find room now */
};

struct replica_classes {
	struct replica_class list[REPLICA_CLASSES_MAX];
	size_t count;
};

/* The classes of open services that an objective of replica time names. */
void replica_classes_find(const struct core *core, struct replica_classes *out);
/* Counts the room that is free for each on usable machines. */
void replica_classes_count(const struct core *core, struct replica_classes *classes);
/*
 * Whether the idle machine can go without taking the last room of a class. If so, its room is not
 * counted any more.
 */
bool replica_classes_spare(struct replica_classes *classes, const struct machine *machine);

#endif
