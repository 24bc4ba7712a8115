/*
 * Reads and watches the leader's key and the key that holds the version of the records' format.
 *
 * LEADER_KEY holds the version of the format. In the first format it is the leader's key as well;
 * later formats have a leader's key of their own, see election_leader_key.
 */
#ifndef PLOVERLOFT_LEADER_KEY_H
#define PLOVERLOFT_LEADER_KEY_H

struct core;

/*
 * Reads the leader's key and LEADER_KEY if the last read may be out of date and the retry delay is
 * over; otherwise starts a watch on these keys if none is in flight.
 */
void leader_key_tick(struct core *core);

#endif
