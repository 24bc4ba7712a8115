/*
 * Decides when scheduling cycles run: shortly after an event, with a delay that grows with the
 * number of jobs, and periodically without an event.
 */
#ifndef PLOVERLOFT_CYCLE_TRIGGER_H
#define PLOVERLOFT_CYCLE_TRIGGER_H

#include <stdbool.h>
#include <stdint.h>

struct core;

/* When the next scheduling cycle runs; times are steady seconds. */
struct cycle_trigger {
	bool requested;		  /* a cycle is to run at next_at */
	double next_at;		  /* when the requested cycle runs */
	double next_periodic_at;  /* when the next cycle is requested even without an event */
	uint32_t attempt_counter; /* attempts numbered under the current fencing token */
};

/* Requests a scheduling cycle, after an event that may make placements possible or necessary. */
void cycle_request(struct core *core);
/* Runs a scheduling cycle if one is due. Only the leader calls it. */
void cycle_tick(struct core *core);

#endif
