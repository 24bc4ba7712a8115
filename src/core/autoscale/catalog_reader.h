/*
 * Reads of the catalog of machine types, from the cloud. While the cloud has not answered once, the
 * copy that a controller left in the state service serves.
 */
#ifndef PLOVERLOFT_CATALOG_READER_H
#define PLOVERLOFT_CATALOG_READER_H

#include <stdbool.h>

struct core;

struct catalog_reader {
	bool in_flight;
	bool stored;	     /* a copy is on record */
	double next_read_at; /* steady */
};

/* Reads the catalog when it is due: a leader at intervals, a follower until it has one. */
void catalog_tick(struct core *core);

#endif
