/*
 * Stand-in for the state service: keys with versions, leases, transactions and watches, within the
 * limits of requests and sizes that it promises. Times are seconds of the stand-ins' clock.
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
	uint64_t lease;	  /* the key ends with it; 0: none */
	UT_hash_handle hh;
};

/* A lease, which ends by itself unless it is renewed. */
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
	json_t *value; /* owned; NULL: the key was dropped */
};

/* A request for changes that has no answer yet. */
struct standin_watch {
	uint64_t handle;
	uint64_t after_revision;
	char prefix[STANDIN_KEY_MAX];
	double expires_at; /* it is answered by then, with no changes if there are none */
	int controller;
	struct standin_watch *next;
};

struct standin_state_service {
	struct standin_key *keys;
	struct standin_lease *leases; /* the newest first */
	struct standin_change *changes;
	size_t change_count;
	size_t change_capacity;
	size_t changes_kept; /* changes that can still be read; 0: all */
	struct standin_watch *watches;
	uint64_t revision;
	uint64_t next_lease;

	/* Faults. */
	bool down;
	bool refuses[STANDIN_CONTROLLERS_MAX]; /* its requests get 503 */
	bool stalls[STANDIN_CONTROLLERS_MAX];  /* its watches get no answer, all else does */

	/* Limits. */
	int txn_ops;	    /* changes in one transaction */
	size_t value_bytes; /* of one value */
	double rps;	    /* requests a second */
	double write_rps;   /* puts and deletes a second */
	/* What the limits still allow: a second's worth at most. */
	double request_allowance;
	double put_allowance;
	double allowance_at; /* when both were last refilled */

	/* Counts since the start. */
	uint64_t requests; /* within the limits */
	uint64_t puts;	   /* puts and deletes of these */
	uint64_t refused;  /* requests beyond the limits */
	uint64_t
	    too_large; /* transactions that can't be carried out: too large, or no such lease */
	uint64_t takeovers; /* transactions in which a controller became or remained leader */
};

/* An empty state service with these limits; `state_service` is all zero. */
void state_service_init(struct standin_state_service *state_service,
			const struct conf_limits *limits);

/* Frees all that it owns. Watches are not answered. */
void state_service_free(struct standin_state_service *state_service);

/* Lets leases expire, and answers watches. */
void state_service_tick(struct standin *standin);

/* Answers a request of a controller, by standin->callbacks: now, or a watch when it is due. */
void standin_state_request(struct standin *standin, int controller, uint64_t handle,
			   const char *method, const char *path, const char *body);

/* Begins or ends an outage. After one, every lease has its full time again. */
void standin_state_outage(struct standin *standin, bool down);

#endif
