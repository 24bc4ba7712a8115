/*
 * The format version gate: the leader raises the version of the records' format once all
 * controllers have recorded in the state service that they read the newer format.
 */
#ifndef PLOVERLOFT_FORMAT_GATE_H
#define PLOVERLOFT_FORMAT_GATE_H

#include <stdbool.h>

struct core;

/*
 * State of this controller's registration, which records the newest format that this controller
 * reads, and of the leader's scans of all controllers' registrations. Times are in seconds of the
 * steady clock.
 */
struct format_gate {
	bool registered; /* the registration of this controller is committed */
	bool register_in_flight;
	double next_register_at;
	/* The leader's read of all controllers' registrations has no answer yet. */
	bool scan_in_flight;
	double next_scan_at;
	/* The last scan found that all controllers have registered the newest format. */
	bool all_read_newest;
};

/*
 * Registers the newest format that this controller reads. The leader also scans what all
 * controllers have registered, until the records' format may be raised.
 */
void format_tick(struct core *core);
/* True if the leader is to raise the records' format, since all controllers have registered the
 * newest one. */
bool format_raise_due(const struct core *core);
/* Clears the result of the leader's scans of the registrations when a term ends. */
void format_clear(struct core *core);

#endif
