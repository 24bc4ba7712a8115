/*
 * When scheduling cycles run: soon after an event, later the more jobs there are, and now and then
 * without one.
 */
#ifndef PLOVERLOFT_CYCLE_TRIGGER_H
#define PLOVERLOFT_CYCLE_TRIGGER_H

#include <stdbool.h>
#include <stdint.h>

struct core;

/* The state of the scheduling cycles; times are steady seconds. */
struct scheduling_cycles {
	bool requested;		  /* one is to run at next_at */
	double next_at;		  /* of the cycle that is requested */
	double next_periodic_at;  /* a cycle runs then also without an event */
	uint32_t attempt_counter; /* numbers given to starts under this token */
};

/* Something happened that placements may follow from: a cycle runs soon. */
void cycle_request(struct core *core);
/* Runs a cycle when its time has come. Only the leader calls it. */
void cycle_tick(struct core *core);

#endif
