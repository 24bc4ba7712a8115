/*
 * Reads the catalog of machine types from the cloud. Until the cloud has answered once, the copy
 * that a controller has written to the state service is used instead.
 */
#ifndef PLOVERLOFT_CATALOG_READER_H
#define PLOVERLOFT_CATALOG_READER_H

#include <stdbool.h>

struct core;

/* The state of the reads of the catalog in this controller. */
struct catalog_reader {
	bool in_flight; /* a read from the cloud is not answered yet */
	/* This controller has read a copy from the state service or has sent one to it, and does
	 * not write a copy again. */
	bool stored;
	double next_read_at; /* steady time before which nothing is read from the cloud */
};

/*
 * Reads the catalog if a read is due. The leader reads it once in CATALOG_INTERVAL_S, a follower
 * only until it has a catalog.
 */
void catalog_tick(struct core *core);

#endif
