/* Share switching between jobs, after the Cilk-NOW macroscheduler; see docs/design.md. */
#ifndef PLOVERLOFT_SHARE_SWITCHING_H
#define PLOVERLOFT_SHARE_SWITCHING_H

#include <stdbool.h>

#include "core/core.h"

#define SHARE_SWITCHING_PATH "/pair"

/* The state of this controller's quanta. */
struct share_switching {
	bool *peer_live;   /* by its last answer */
	double next_at;	   /* steady */
	uint64_t quantum;  /* counts the values that we wrote */
	uint64_t switches; /* made since this process began */
};

/*
 * The chance that a slot of a job that holds m_b slots is switched to one that holds m_a:
 * (m_b^2 - m_a^2) / (2 m_a m_b), at most 1; 0 unless m_a < m_b.
 */
double share_switch_probability(double m_a, double m_b);
/* The leader hands this controller its part of the slots. */
void share_switching_request(struct core *core, const struct core_request *request);
/* The answer of a controller; `peer` is its index in the settings, npeers: our own. */
void share_switching_take(struct core *core, size_t peer, const uint8_t *data, size_t len);
/* Begins a quantum when it is due. Only the leader calls it. */
void share_switching_tick(struct core *core);

#endif
