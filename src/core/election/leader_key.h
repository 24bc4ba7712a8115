/*
 * The leader's key, and the key of the records' format beside it: reading and watching them.
 *
 * LEADER_KEY says in which format the records are. In the first format it is also the leader's key;
 * later formats have one of their own, see election_key.
 */
#ifndef PLOVERLOFT_LEADER_KEY_H
#define PLOVERLOFT_LEADER_KEY_H

struct core;

/* Reads the keys if what was read of them may be out of date, and else keeps a watch on them. */
void leader_key_tick(struct core *core);

#endif
