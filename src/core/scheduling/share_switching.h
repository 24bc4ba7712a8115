/*
 * Share switching between job arrays, after the Cilk-NOW macroscheduler; see docs/design.md.
 *
 * A slot is the part of a machine that one array task takes: there are more jobs than machines
 * here. Once a quantum the leader divides all slots among the live controllers
 * (share_switching_leader.c). Each controller sums the slots that every job has, compares the count
 * of each slot's job with that of a job drawn at random, and answers with the slots that are to
 * change their job (share_switching.c).
 */
#ifndef PLOVERLOFT_SHARE_SWITCHING_H
#define PLOVERLOFT_SHARE_SWITCHING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/core.h"

#define SHARE_SWITCHING_PATH "/pair"

/* The state of this controller's quanta. */
struct share_switching {
	bool *peer_live;   /* by each controller's last answer; indexed as in the settings */
	double next_at;	   /* steady seconds; when the leader begins the next quantum */
	uint64_t quantum;  /* counts the quanta whose job counts this controller has written */
	uint64_t switches; /* made since this process began */
};

/*
 * The probability that a slot is switched from a job with m_b slots to a job with m_a slots:
 * (m_b^2 - m_a^2) / (2 m_a m_b), at most 1; 0 unless 0 < m_a < m_b.
 */
double share_switch_probability(double m_a, double m_b);

/* A request of the leader: this controller's part of the slots in this quantum. */
void share_switching_request(struct core *core, const struct core_request *request);

/*
 * Decides on the switches of a packed Part message, which stays owned by the caller. They are
 * answered on `connection`, or applied at once if it is 0: then the part is the leader's own.
 */
void share_switching_decide(struct core *core, uint64_t connection, const uint8_t *message,
			    size_t len);

/*
 * Applies a packed Switches message, which stays owned by the caller. `peer` is the index in the
 * settings of the controller that sent it; the number of peers stands for this controller.
 */
void share_switching_apply(struct core *core, size_t peer, const uint8_t *message, size_t len);

/* Begins a quantum when its time has come. Only the leader calls it. */
void share_switching_tick(struct core *core);

#endif
