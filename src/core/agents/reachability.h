/*
 * Partitions in one direction. Outbound: an agent's messages arrive, but ours do not reach it.
 * Inbound: the agent answers us, but its own heartbeats do not arrive.
 */
#ifndef PLOVERLOFT_REACHABILITY_H
#define PLOVERLOFT_REACHABILITY_H

#include <stdbool.h>

#include "core/model/machine.h"

/*
 * Our messages do not reach the agent: it gets no work until its answer to a probe shows that they
 * do. `reason` is for the log.
 */
void machine_mark_unreachable(struct core *core, struct machine *machine, const char *reason);
/* Our messages reach the agent. */
void machine_mark_reachable(struct core *core, struct machine *machine);
/* A heartbeat came: marks the machine unreachable if too many in a row ignore starts sent to it. */
void machine_check_ignored_starts(struct core *core, struct machine *machine);
/*
 * No new heartbeat has arrived for HEARTBEAT_OVERDUE_REPORTS report intervals, and no probe was
 * sent within PROBE_INTERVAL_S.
 */
bool machine_heartbeat_overdue(const struct core *core, const struct machine *machine);
/*
 * An inbound partition: the agent answers probes, but no heartbeat has come for so long that its
 * lease will end.
 */
bool machine_is_partitioned_inbound(const struct core *core, const struct machine *machine);

#endif
