/* Sends probes: status requests to agents, which answer with a report. */
#ifndef PLOVERLOFT_PROBES_H
#define PLOVERLOFT_PROBES_H

#include <stdbool.h>

#include "core/model/machine.h"

/*
 * Sends a probe to the machine's agent. Returns false if none was sent: the agent's address is not
 * known, the last probe of the machine was sent less than PROBE_INTERVAL_S ago, or the rate limit
 * or the limit on sockets is reached.
 */
bool probe_machine(struct core *core, struct machine *machine);
/*
 * Sends a probe to a machine with replicas, with a shorter timeout. The caller limits the rate and
 * the interval of these probes: the limiter that all other probes share does not apply. Returns
 * false if the agent's address is not known or the limit on sockets is reached.
 */
bool probe_replica_machine(struct core *core, struct machine *machine);

#endif
