/*
 * Stand-in for the state service: keys with versions, leases, transactions and watches. It enforces
 * the service's limits on the rate of requests and on sizes. Times are seconds of the stand-ins'
 * clock.
 */
#ifndef PLOVERLOFT_STANDINS_STATE_SERVICE_H
#define PLOVERLOFT_STANDINS_STATE_SERVICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uthash.h>

#include "conf/conf.h"

#define STANDIN_KEY_MAX 201	  /* bytes of a key, with its NUL */
#define STANDIN_CONTROLLERS_MAX 8 /* controllers of one deployment */

struct standin;

/* A key and its value. */
struct standin_key {
	char key[STANDIN_KEY_MAX];
	json_t *value;	  /* owned */
	uint64_t version; /* revision of its last change */
	uint64_t lease;	  /* id of the lease whose end deletes the key; 0: none */
	UT_hash_handle hh;
};

/* A lease. It expires unless it is renewed. */
struct standin_lease {
	uint64_t id;
	int ttl_ms;
	double expires_at;
	struct standin_lease *next;
};

/* One entry of the history that watches read. */
struct standin_change {
	uint64_t revision;
	char key[STANDIN_KEY_MAX];
	json_t *value; /* owned; NULL: the key was deleted */
};

/* A watch: a request for changes that has not been answered yet. */
struct standin_watch {
	uint64_t handle;
	uint64_t after_revision;      /* it asks for the changes after this revision */
	char prefix[STANDIN_KEY_MAX]; /* of the keys that it asks for */
	double expires_at;	      /* when it is answered even if there are no changes */
	int controller;		      /* index of the controller that asks */
	struct standin_watch *next;
};

struct standin_state_service {
	struct standin_key *keys;	/* owned; hash table by name */
	struct standin_lease *leases;	/* owned, the newest first */
	struct standin_change *changes; /* owned; the history, the oldest first */
	size_t change_count;
	size_t change_capacity;
	size_t changes_kept;	       /* newest changes that watches can still read; 0: all */
	struct standin_watch *watches; /* owned */
	uint64_t revision;	       /* of the last change */
	uint64_t next_lease_id;	       /* id of the next lease */

	/* Faults. */
	bool down;			       /* every request gets 503 */
	bool refuses[STANDIN_CONTROLLERS_MAX]; /* all requests of the controller get 503 */
	bool stalls[STANDIN_CONTROLLERS_MAX];  /* only watches of the controller get no answer */

	/* Limits. */
	int txn_ops;	    /* changes in one transaction */
	size_t value_bytes; /* size of one value */
	double rps;	    /* requests a second */
	double write_rps;   /* puts and deletes a second */
	/* Token buckets: the requests, and the puts and deletes, that the rates allow now. Each
	 * holds what its rate allows in a second at most. */
	double request_allowance;
	double write_allowance;
	double allowance_at; /* when both allowances were last refilled */

	/* Counts since the start. */
	uint64_t requests;	      /* requests within the rates */
	uint64_t writes;	      /* puts and deletes in these requests */
	uint64_t requests_over_limit; /* requests beyond the rates */
	/* Transactions that are invalid whatever the guards: too large, or of an unknown lease. */
	uint64_t invalid_transactions;
	/* Transactions that wrote the leader's key, see leader_key_change, and those of them that
	 * claimed it. */
	uint64_t leader_key_writes, leader_claims;
	uint64_t claim_lease; /* the lease under which the leader's key was last claimed */
};

/*
 * Initialises an empty state service with these limits. The caller has set `state_service` to all
 * zeros.
 */
void state_service_init(struct standin_state_service *state_service,
			const struct conf_limits *limits);

/* Frees all that the state service owns. Open watches are not answered. */
void state_service_free(struct standin_state_service *state_service);

/* Ends the leases that have expired, and answers the watches that are due. */
void state_service_tick(struct standin *standin);

/*
 * Handles a request of a controller and answers through standin->callbacks: at once, or a watch
 * when there are changes for it or its time is over.
 */
void standin_state_handle_request(struct standin *standin, int controller, uint64_t handle,
				  const char *method, const char *path, const char *body);

/* Begins or ends an outage. The end of an outage renews every lease. */
void standin_state_set_outage(struct standin *standin, bool down);

#endif
