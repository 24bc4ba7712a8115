/*
 * The messages that carried the start of one attempt of a task. An old one of them may still arrive
 * and start the attempt: a direct message may be late, or be repeated long after it was answered.
 * Until none can, the agent must not forget the attempt, and a report that does not list the
 * attempt does not prove its end.
 */
#ifndef PLOVERLOFT_SENT_STARTS_H
#define PLOVERLOFT_SENT_STARTS_H

#include <stdbool.h>
#include <stdint.h>

struct core;
struct machine_agent;

struct sent_starts {
	/* The sequence number of the heartbeat whose answer last carried the start; 0: no answer
	 * has carried it since this term began or the agent was restarted. */
	uint64_t heartbeat_sequence;
	/* The newest fencing token under which a direct message, of this or an earlier leader, may
	 * have carried the start. */
	uint64_t direct_token;
};

/* The messages of an attempt whose start was sent, if at all, under older tokens than `token`. */
struct sent_starts sent_starts_before(uint64_t token);
/*
 * True if no message that carried the start can take effect any more:
 * - The agent has shown a newer token than that of any direct message, and so rejects them all.
 * - A newer heartbeat was applied than the one whose answer carried the start. An agent sends one
 *   heartbeat at a time and drops the answers to earlier ones.
 */
bool sent_starts_are_void(const struct sent_starts *starts, const struct machine_agent *agent);
/* True if only a new token can make the direct messages void, and no renewal is in flight. */
bool sent_starts_need_new_token(const struct core *core, const struct sent_starts *starts);

#endif
