/*
 * Long polling: the answer to a heartbeat waits until a start is due for its machine.
 *
 * Starts are sent in answers to heartbeats only (docs/failure-model.md). A start that becomes due
 * between two heartbeats would have to wait for the next one, so the leader delays the answer while
 * a start may become due. The wait is bounded (`LONG_POLL_MAX_S`). It ends at once when a newer
 * heartbeat of the machine is applied, the machine is to be deleted, its agent was restarted, the
 * connection is closed or the term ends.
 */
#ifndef PLOVERLOFT_LONG_POLL_H
#define PLOVERLOFT_LONG_POLL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/model/machine.h"

/* True if the answer to a heartbeat of the machine may wait: a start may become due soon, and the
 * answers that wait already hold few enough sockets. */
bool long_poll_is_useful(const struct core *core, const struct machine *machine);
/* Returns the expected time in seconds until a start can be sent to the machine's agent: 0 if an
 * answer waits, else the time until the next heartbeat is due. */
double long_poll_start_delay_s(const struct core *core, const struct machine *machine);
/* Lets the answer to the machine's newest heartbeat wait, which arrived on the connection. */
void long_poll_begin(struct core *core, struct machine *machine, uint64_t connection);
/* True if an answer to a heartbeat of the machine waits. */
bool long_poll_waits(const struct machine *machine);
/* Commands may have become due. If an answer waits and a start is due, the next call of
 * long_poll_tick sends the answer. */
void long_poll_check_starts(struct core *core, struct machine *machine);
/* Answers the heartbeat with all commands that are due, if its answer waits. */
void long_poll_answer(struct core *core, struct machine *machine);
/*
 * Answers the heartbeat without commands, if its answer waits: its agent does not wait for this
 * answer any more, or the machine is removed. After the end of the term the agent is redirected
 * instead.
 */
void long_poll_end(struct core *core, struct machine *machine);
/* The caller of the connection has closed it. Ends the wait of an answer on it without an answer.
 */
void long_poll_connection_closed(struct core *core, uint64_t connection);
/* Sends the answers for which a start has become due, and those that have waited for the longest
 * time allowed, with all commands that are due. */
void long_poll_tick(struct core *core);

#endif
