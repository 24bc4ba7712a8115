/*
 * The cluster's format version: which layout of records all controllers read.
 */
#ifndef PLOVERLOFT_FORMAT_H
#define PLOVERLOFT_FORMAT_H

#include <stdbool.h>

struct core;

/* What is known of the formats that the controllers read. */
struct format_watch {
	bool registered;      /* ours is on record */
	bool registering;     /* the write is under way */
	double register_at;   /* steady; not before */
	bool looking;	      /* the leader reads all entries */
	double look_at;	      /* steady; not before */
	bool all_read_newest; /* so the last look showed */
};

void format_tick(struct core *core);
/* True if the leader is to raise the format: all controllers read the new one. */
bool format_wanted(const struct core *core);
void format_clear(struct core *core);

#endif
