/*
 * Share switching between job arrays, after the macroscheduler in P. A. Lisiecki, "Macro-Level
 * Scheduling in the Cilk Network of Workstations Environment", MIT, 1996. docs/design.md says what
 * is kept of the thesis and what is changed.
 *
 * Where the thesis switches machines, this switches slots, because there are more jobs than
 * machines here. A slot is the part of a machine that one array task uses. Once each quantum the
 * leader divides all slots into parts, one for each live controller (share_switching_leader.c). The
 * controllers exchange through the state service how many slots each job has in their parts. For
 * each slot of its part, a controller draws a job at random and compares that job's slots with
 * those of the slot's job. It answers with the slots that are to be switched (share_switching.c).
 */
#ifndef PLOVERLOFT_SHARE_SWITCHING_H
#define PLOVERLOFT_SHARE_SWITCHING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/core.h"

/* Path of the requests in which the leader sends parts. */
#define SHARE_SWITCHING_PATH "/pair"

/* The state of share switching in this controller. */
struct share_switching {
	/* For each peer, by its index in the settings: whether the peer answered with success when
	 * the leader last sent it a part of the slots; false before the first answer. */
	bool *peer_live;
	double next_at;	   /* steady time at which the leader begins the next quantum */
	uint64_t quantum;  /* number of quanta for which this controller has written its counts */
	uint64_t switches; /* slots switched since this process started */
};

/*
 * Returns the probability that a slot of a job with m_b slots is switched to a job with m_a slots
 * that was drawn for it: (m_b^2 - m_a^2) / (2 m_a m_b), at most 1; 0 unless 0 < m_a < m_b. Jobs are
 * drawn with a probability proportional to their slots.
 */
double share_switch_probability(double m_a, double m_b);

/* Handles a request of the leader with the part that this controller decides on in a quantum. */
void share_switching_request(struct core *core, const struct core_request *request);

/*
 * Decides which slots of a packed Part message are switched. The switches are sent as the answer on
 * `connection`; 0: this controller is the leader, and applies the switches itself. The caller keeps
 * the message.
 */
void share_switching_decide(struct core *core, uint64_t connection, const uint8_t *message,
			    size_t len);

/*
 * Applies a packed Switches message. `peer` is the index in the settings of the controller that
 * sent the message; the number of peers stands for this controller. The caller keeps the message.
 */
void share_switching_apply(struct core *core, size_t peer, const uint8_t *message, size_t len);

/* Begins a quantum of share switching if one is due. Only the leader calls it. */
void share_switching_tick(struct core *core);

#endif
