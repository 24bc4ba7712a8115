/*
 * Numbers of the connections on which controllers receive requests. A controller passes the number
 * back with its answer, so the number can encode where the answer goes. Clients' connections are
 * numbered from 1, those of other controllers from PEER_CONNECTIONS. The number of a report's
 * connection contains the machine's index and the report's number, which is its sequence number.
 */
#ifndef PLOVERLOFT_RUNNER_CONNECTIONS_H
#define PLOVERLOFT_RUNNER_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>

#define PEER_CONNECTIONS (UINT64_C(1) << 29)
#define REPORT_CONNECTIONS (UINT64_C(1) << 30)
#define REPORT_NUMBER_MASK (REPORT_CONNECTIONS - 1)
#define MACHINE_SHIFT 40 /* position of the machine's index in the number of a connection */

/* The report number of all duplicates. No machine's own reports reach it, so that the answer to a
 * duplicate is ignored. */
#define DUPLICATE_REPORT_NUMBER UINT64_C(0x3ffffffe)

/* The kind of host that sent the request on a connection. */
enum connection_kind { CONNECTION_CLIENT, CONNECTION_PEER, CONNECTION_REPORT };

/* Returns the kind of host that sent the request on this connection. */
static inline enum connection_kind connection_kind(uint64_t connection)
{
	if (connection >= REPORT_CONNECTIONS)
		return CONNECTION_REPORT;
	if (connection >= PEER_CONNECTIONS)
		return CONNECTION_PEER;
	return CONNECTION_CLIENT;
}

/* Returns the connection on which a machine sends the report with this number. */
static inline uint64_t report_connection(int machine, uint64_t report_number)
{
	return (uint64_t)machine << MACHINE_SHIFT | REPORT_CONNECTIONS |
	       (report_number & REPORT_NUMBER_MASK);
}

/* Returns the index of the machine whose report arrived on this connection. */
static inline int report_connection_machine(uint64_t connection)
{
	return (int)(connection >> MACHINE_SHIFT);
}

/* True if the report with this number arrived on the connection. */
static inline bool report_connection_is(uint64_t connection, uint64_t report_number)
{
	return (connection & REPORT_NUMBER_MASK) == (report_number & REPORT_NUMBER_MASK);
}

#endif
