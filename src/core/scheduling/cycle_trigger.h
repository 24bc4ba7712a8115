/* When scheduling cycles run. */
#ifndef PLOVERLOFT_CYCLE_TRIGGER_H
#define PLOVERLOFT_CYCLE_TRIGGER_H

#include <stdbool.h>
#include <stdint.h>

struct core;

/* When decisions are made. */
struct scheduling_cycles {
	bool requested;
	double next_at, next_periodic_at; /* steady */
	uint32_t attempt_counter;	  /* numbers given to starts under this token */
};

/* Something happened that decisions may follow from: a cycle runs soon. */
void cycle_request(struct core *core);
/* Runs a cycle when it is due. Only the leader calls it. */
void cycle_tick(struct core *core);

#endif
