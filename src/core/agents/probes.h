/* Probes: status requests to agents, which answer with a report. */
#ifndef PLOVERLOFT_PROBES_H
#define PLOVERLOFT_PROBES_H

#include <stdbool.h>

#include "core/model/machine.h"

/*
 * Sends a probe to the machine's agent. False if none was sent: its address is not known, the last
 * one went out within PROBE_INTERVAL_S, or the rate limit or the allowance of sockets is reached.
 */
bool probe_machine(struct core *core, struct machine *machine);
/*
 * The same for a machine with replicas: with a shorter timeout, and limited in rate by the caller
 * instead of by the limiter that all other probes share.
 */
bool probe_replica_machine(struct core *core, struct machine *machine);

#endif
