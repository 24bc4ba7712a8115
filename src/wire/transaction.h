/*
 * Builds transactions of the state service. They are built as text, so that the sizes that the
 * state service limits are known exactly.
 */
#ifndef PLOVERLOFT_TRANSACTION_H
#define PLOVERLOFT_TRANSACTION_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "util/buf.h"

/* A transaction that is being built: its text, and the amounts that the state service limits. */
struct txn {
	struct buf guards, ops; /* the lists of guards and of changes, without brackets */
	int op_count;		/* number of changes in `ops` */
	size_t largest_value;	/* bytes of the longest text of a value in `ops` */
};

/* A savepoint: the state of a transaction to which txn_rollback can return. */
struct txn_savepoint {
	size_t guards_len, ops_len, largest_value;
	int op_count;
};

/* Begins an empty transaction. It must be ended by txn_finish or txn_abandon. */
void txn_begin(struct txn *txn);

/* Adds a guard: the transaction fails unless the key has this version; 0: unless the key does not
 * exist. */
void txn_guard(struct txn *txn, const char *key, uint64_t version);

/*
 * Adds the write of a key. The key is deleted when `lease` ends; 0: no lease. Takes ownership of
 * the value, which must be an object or an array, and returns the length of its text in bytes.
 */
size_t txn_put(struct txn *txn, const char *key, json_t *value, uint64_t lease);

/* Adds the deletion of a key. */
void txn_drop(struct txn *txn, const char *key);

/* Returns an upper bound of the bytes of the whole transaction. */
size_t txn_bytes(const struct txn *txn);

/* Returns a savepoint of the transaction. */
struct txn_savepoint txn_savepoint(const struct txn *txn);

/* Removes everything that was added since the savepoint. */
void txn_rollback(struct txn *txn, const struct txn_savepoint *savepoint);

/* Returns the text of the transaction, which the caller frees. The transaction is empty afterwards.
 */
char *txn_finish(struct txn *txn);

/* Discards the guards and changes of the transaction. The transaction is empty afterwards. */
void txn_abandon(struct txn *txn);

#endif
