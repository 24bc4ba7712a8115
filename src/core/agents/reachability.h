/*
 * Detects partitions in one direction. In an outbound partition, an agent's messages arrive, but
 * ours do not reach it. In an inbound partition, the agent answers our messages, but the heartbeats
 * that it sends do not arrive.
 */
#ifndef PLOVERLOFT_REACHABILITY_H
#define PLOVERLOFT_REACHABILITY_H

#include <stdbool.h>

#include "core/model/machine.h"

/*
 * Marks the machine as unreachable: our messages do not reach its agent. The machine gets no work
 * until an answer of the agent shows that our messages reach it. `reason` is logged.
 */
void machine_mark_unreachable(struct core *core, struct machine *machine, const char *reason);
/* Marks the machine as reachable: our messages reach its agent. */
void machine_mark_reachable(struct core *core, struct machine *machine);
/*
 * Called for each heartbeat. Marks the machine as unreachable if MACHINE_IGNORED_STARTS heartbeats
 * in a row lack a task whose start was sent to the agent.
 */
void machine_check_ignored_starts(struct core *core, struct machine *machine);
/*
 * True if the machine is to be probed because no heartbeat of its agent has been applied for
 * HEARTBEAT_OVERDUE_REPORTS report intervals, and no probe was sent to the machine within
 * PROBE_INTERVAL_S.
 */
bool machine_heartbeat_overdue(const struct core *core, const struct machine *machine);
/*
 * True if there is an inbound partition: the agent answers probes, but no heartbeat has come for so
 * long that the agent's lease is going to expire.
 */
bool machine_is_partitioned_inbound(const struct core *core, const struct machine *machine);

#endif
