/*
 * The format version gate: the leader raises the version of the records' format once all
 * controllers have recorded that they read it.
 */
#ifndef PLOVERLOFT_FORMAT_GATE_H
#define PLOVERLOFT_FORMAT_GATE_H

#include <stdbool.h>

struct core;

/* State of the registration and of the leader's scans. Times are in seconds of the steady clock. */
struct format_gate {
	bool registered; /* the format that this controller registers is committed */
	bool register_in_flight;
	double next_register_at;
	bool scan_in_flight; /* the leader's read of what all controllers have registered */
	double next_scan_at;
	bool all_read_newest; /* all controllers read the newest format, by the last scan */
};

/*
 * Registers the newest format that this controller reads. The leader also scans what all
 * controllers have registered, until the format may be raised.
 */
void format_tick(struct core *core);
/* True if the leader is to raise the format, since all controllers read the newest one. */
bool format_raise_due(const struct core *core);
/* Clears the result of the scans when a term ends. */
void format_clear(struct core *core);

#endif
