/* What the cloud offers and lists, and the requests to rent and delete machines. */
#ifndef PLOVERLOFT_CLOUD_CODEC_H
#define PLOVERLOFT_CLOUD_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "wire/name_list.h"

/* A type of machines that the cloud rents out. Times are in seconds, sizes in GB. */
struct machine_type {
	char name[NAME_MAX_LEN];
	double cpus, gpus, mem_gb;
	double cache_gb;	  /* room for images */
	double fetch_gb_per_s;	  /* speed at which images are fetched */
	double price, spot_price; /* for an hour; as spot machine the second */
	double boot_s;		  /* from the rental to the first report */
	struct name_list zones;	  /* where the cloud has it, at least one */
};

/* What the cloud says of a rented machine. */
enum listed_state { CLOUD_BOOTING, CLOUD_RUNNING, CLOUD_FAILED };

/* A rented machine in the cloud's list. */
struct listed_machine {
	char id[ID_MAX];
	char addr[NAME_MAX_LEN]; /* empty: none yet */
	char type[NAME_MAX_LEN];
	char zone[NAME_MAX_LEN];
	bool spot; /* true if the cloud may take the machine back */
	enum listed_state state;
	double age_s; /* seconds since it was rented; 0 if the cloud does not say */
};

/*
 * The machine types of a catalog; invalid ones are left out. 0, or -1 if none is left. On success
 * the caller frees them with wire_types_free; on failure there is nothing to free.
 */
int wire_types_decode(json_t *object, struct machine_type **types, size_t *count);

/* Frees the types and what they hold. */
void wire_types_free(struct machine_type *types, size_t count);

/* The catalog as it is stored; the caller releases it with json_decref. */
json_t *wire_types_encode(const struct machine_type *types, size_t count);

/*
 * One page of the list of rented machines; invalid entries are left out. 0, or -1 if it is not such
 * a list. *more is true if another page follows. On success the caller frees the array.
 */
int wire_list_decode(const char *body, size_t len, struct listed_machine **machines, size_t *count,
		     bool *more);

/* A request for `count` machines, which its name makes repeatable. The caller frees the text. */
char *wire_rental(const char *request, const char *type, const char *zone, bool spot, int count);

/* A request to delete machines. The caller frees the text. */
char *wire_delete(const char *const *ids, size_t count);

/*
 * The ids of the machines that a rental gave. 0, or -1 if the answer has none to give. On success
 * the caller frees the array and each id.
 */
int wire_rented(const char *body, size_t len, char ***ids, size_t *count);

#endif
