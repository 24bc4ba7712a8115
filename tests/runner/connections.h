/*
 * Numbers of the connections on which controllers are asked. A controller only repeats the number
 * with its answer, so that it can say whom the answer goes to: clients count from 1, other
 * controllers from PEER_CONNECTIONS; the connection of a report names its machine and the report.
 */
#ifndef PLOVERLOFT_RUNNER_CONNECTIONS_H
#define PLOVERLOFT_RUNNER_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>

#define PEER_CONNECTIONS (UINT64_C(1) << 29)
#define REPORT_CONNECTIONS (UINT64_C(1) << 30)
#define REPORT_NUMBER_MASK (REPORT_CONNECTIONS - 1)
#define MACHINE_SHIFT 40

/* A report number that no machine reaches: the answer to a duplicate goes nowhere. */
#define DUPLICATE_REPORT_NUMBER UINT64_C(0x3ffffffe)

/* Who asked on a connection. */
enum connection_kind { CONNECTION_CLIENT, CONNECTION_PEER, CONNECTION_REPORT };

static inline enum connection_kind connection_kind(uint64_t connection)
{
	if (connection >= REPORT_CONNECTIONS)
		return CONNECTION_REPORT;
	if (connection >= PEER_CONNECTIONS)
		return CONNECTION_PEER;
	return CONNECTION_CLIENT;
}

/* The connection on which a machine sends the report of this number. */
static inline uint64_t report_connection(int machine, uint64_t report_number)
{
	return (uint64_t)machine << MACHINE_SHIFT | REPORT_CONNECTIONS |
	       (report_number & REPORT_NUMBER_MASK);
}

/* The machine whose report came on this connection. */
static inline int report_connection_machine(uint64_t connection)
{
	return (int)(connection >> MACHINE_SHIFT);
}

/* Whether the connection carries the report of this number. */
static inline bool report_connection_is(uint64_t connection, uint64_t report_number)
{
	return (connection & REPORT_NUMBER_MASK) == (report_number & REPORT_NUMBER_MASK);
}

#endif
