/*
 * The cluster's format version: which layout of records all controllers read.
 */
#ifndef PLOVERLOFT_FORMAT_GATE_H
#define PLOVERLOFT_FORMAT_GATE_H

#include <stdbool.h>

struct core;

/* The formats that the controllers read, as far as registered and scanned. Times are steady. */
struct format_gate {
	bool registered; /* this controller's version is on record */
	bool register_in_flight;
	double next_register_at;
	bool scan_in_flight; /* the leader reads all controllers' versions */
	double next_scan_at;
	bool all_read_newest; /* as of the last scan */
};

/* Registers this controller's version; the leader also scans all versions until it may raise. */
void format_tick(struct core *core);
/* True if the leader is to raise the format: all controllers read the new one. */
bool format_raise_due(const struct core *core);
/* Forgets what the term's scans showed. */
void format_clear(struct core *core);

#endif
