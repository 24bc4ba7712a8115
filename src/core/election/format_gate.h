/*
 * The cluster's format version: which layout of records all controllers read.
 */
#ifndef PLOVERLOFT_FORMAT_GATE_H
#define PLOVERLOFT_FORMAT_GATE_H

#include <stdbool.h>

struct core;

/* What is known of the formats that the controllers read. */
struct format_gate {
	bool registered;	 /* ours is on record */
	bool register_in_flight; /* the write is under way */
	double next_register_at; /* steady; not before */
	bool scan_in_flight;	 /* the leader reads all entries */
	double next_scan_at;	 /* steady; not before */
	bool all_read_newest;	 /* so the last look showed */
};

void format_tick(struct core *core);
/* True if the leader is to raise the format: all controllers read the new one. */
bool format_raise_due(const struct core *core);
void format_clear(struct core *core);

#endif
