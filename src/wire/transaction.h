/* Transactions of the state service as text, so that the sizes that it limits are known exactly. */
#ifndef PLOVERLOFT_TRANSACTION_H
#define PLOVERLOFT_TRANSACTION_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "util/buf.h"

/* A transaction in the making: its text, and what the state service limits. */
struct txn {
	struct buf guards, ops; /* the elements of both lists, without the brackets */
	int op_count;
	size_t largest_value; /* bytes of its largest value, as sent */
};

/* A moment of a transaction in the making, to which it can be taken back. */
struct txn_mark {
	size_t guards_len, ops_len, largest_value;
	int op_count;
};

/* Makes an empty transaction. It is ended by txn_finish or txn_abandon. */
void txn_begin(struct txn *txn);

/* Lets the transaction succeed only if the key has this version; 0: if there is no such key. */
void txn_guard(struct txn *txn, const char *key, uint64_t version);

/*
 * Writes a key, which is dropped when `lease` ends; 0: no lease. Takes over the value, an object or
 * an array; returns the bytes of its text.
 */
size_t txn_put(struct txn *txn, const char *key, json_t *value, uint64_t lease);

/* Drops a key. */
void txn_drop(struct txn *txn, const char *key);

/* The bytes of the whole transaction, at most. */
size_t txn_bytes(const struct txn *txn);

/* The present moment of the transaction. */
struct txn_mark txn_mark(const struct txn *txn);

/* Takes back what was added since the mark. */
void txn_rollback(struct txn *txn, const struct txn_mark *mark);

/* The text, which the caller frees; the transaction is empty afterwards. */
char *txn_finish(struct txn *txn);

/* Frees what the transaction holds; it is empty afterwards. */
void txn_abandon(struct txn *txn);

#endif
