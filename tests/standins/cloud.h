/*
 * Stand-in for the cloud: the catalog of machine types, the inventory of rented machines, rentals
 * and deletions.
 */
#ifndef PLOVERLOFT_STANDINS_CLOUD_H
#define PLOVERLOFT_STANDINS_CLOUD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/wire.h"

#define STANDIN_MACHINE_TYPES_MAX 32 /* machine types of one scenario */

struct standin;

/* A rental request that was carried out. A repetition of it gets the same answer. */
struct standin_rental {
	char name[NAME_MAX_LEN]; /* of the request, which makes it repeatable */
	char *answer;		 /* owned */
};

struct standin_cloud {
	struct machine_type
	    *types; /* owned; an array of STANDIN_MACHINE_TYPES_MAX that is not moved */
	size_t type_count;
	int capacity[STANDIN_MACHINE_TYPES_MAX]; /* of each type: machines that can still be rented
						  */
	bool reuse[STANDIN_MACHINE_TYPES_MAX];	 /* of each type: a deleted machine adds to the
						    capacity */
	bool down;				 /* every request gets 503 */
	int never_boot_count;		/* number of the next rented machines that never come up */
	struct standin_rental *rentals; /* owned */
	size_t rental_count;
};

/* Initialises an empty cloud. The caller has set `cloud` to all zeros. */
void cloud_init(struct standin_cloud *cloud);

/* Frees all that the cloud owns, not `cloud` itself. */
void cloud_free(struct standin_cloud *cloud);

/*
 * Adds a machine type to the catalog, and takes ownership of what the type owns. `capacity`
 * machines of it can be rented; with `reuse`, deleted ones can be rented again.
 */
void standin_machine_type_add(struct standin *standin, const struct machine_type *type,
			      int capacity, bool reuse);

/* Handles a request from a controller and answers through standin->callbacks. */
void standin_cloud_handle_request(struct standin *standin, uint64_t handle, const char *method,
				  const char *path, const char *body);

#endif
