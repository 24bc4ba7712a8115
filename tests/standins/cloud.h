/* Stand-in for the cloud: its catalog, its inventory, rentals and deletions. */
#ifndef PLOVERLOFT_STANDINS_CLOUD_H
#define PLOVERLOFT_STANDINS_CLOUD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wire/wire.h"

#define STANDIN_TYPES_MAX 32 /* types of machines of one scenario */

struct standin;

/* A rental that was answered: repeated, it gets the same answer. */
struct standin_rental {
	char name[NAME_MAX_LEN];
	char *answer; /* owned */
};

struct standin_cloud {
	struct machine_type *types; /* owned, room for STANDIN_TYPES_MAX; their places stay */
	size_t type_count;
	int capacity[STANDIN_TYPES_MAX]; /* machines that can still be rented */
	bool reuse[STANDIN_TYPES_MAX];	 /* what is deleted can be rented again */
	bool down;
	int never_boot; /* so many of the next machines never come up */
	struct standin_rental *rentals;
	size_t rental_count;
};

/* An empty cloud; `cloud` is all zero. */
void cloud_init(struct standin_cloud *cloud);

/* Frees all that it owns. */
void cloud_free(struct standin_cloud *cloud);

/* Adds a type to the catalog, and takes over what it owns. */
void standin_type_add(struct standin *standin, const struct machine_type *type, int capacity,
		      bool reuse);

/* Answers a request of a controller, by standin->callbacks. */
void standin_cloud_request(struct standin *standin, uint64_t handle, const char *method,
			   const char *path, const char *body);

#endif
