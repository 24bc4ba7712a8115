/*
 * The messages that carried the start of one attempt of a task. An old one of them may still arrive
 * and start the attempt. Until none can, the agent must not forget the attempt, and a report that
 * does not list the attempt does not prove its end.
 */
#ifndef PLOVERLOFT_SENT_STARTS_H
#define PLOVERLOFT_SENT_STARTS_H

#include <stdbool.h>
#include <stdint.h>

struct machine_agent;

struct sent_starts {
	/* The sequence number of the heartbeat whose answer last carried the start; 0: no answer
	 * has carried it since this term began or the agent was restarted. */
	uint64_t heartbeat_sequence;
};

/*
 * True if no answer that carried the start can take effect any more. An agent sends one heartbeat
 * at a time, and drops the answers to earlier ones: a newer heartbeat shows that it does not wait
 * for that answer.
 */
bool sent_starts_are_void(const struct sent_starts *starts, const struct machine_agent *agent);

#endif
