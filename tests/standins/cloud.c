/* Stand-in for the cloud: the catalog of machine types, rentals, deletions and the inventory. */
#include "standins/cloud.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/answers.h"
#include "standins/standin.h"
#include "util/xalloc.h"
#include "wire/names.h"

void cloud_init(struct standin_cloud *cloud)
{
	cloud->types = xcalloc(STANDIN_MACHINE_TYPES_MAX, sizeof(*cloud->types));
}

void cloud_free(struct standin_cloud *cloud)
{
	for (size_t i = 0; i < cloud->rental_count; i++)
		free(cloud->rentals[i].answer);
	free(cloud->rentals);
	wire_machine_types_free(cloud->types, cloud->type_count);
}

void standin_machine_type_add(struct standin *standin, const struct machine_type *type,
			      int capacity, bool reuse)
{
	struct standin_cloud *cloud = &standin->cloud;
	size_t i = cloud->type_count++;

	cloud->types[i] = *type;
	cloud->capacity[i] = capacity;
	cloud->reuse[i] = reuse;
}

/* --- rentals --- */

/* The rental request of this name, if it was carried out before, or NULL. */
static const struct standin_rental *find_rental(const struct standin_cloud *cloud, const char *name)
{
	for (size_t i = 0; i < cloud->rental_count; i++)
		if (!strcmp(cloud->rentals[i].name, name))
			return &cloud->rentals[i];
	return NULL;
}

/* Keeps the answer to a rental request, for repetitions of the request. */
static void record_rental(struct standin_cloud *cloud, const char *name, const json_t *body)
{
	struct standin_rental *rental;

	cloud->rentals =
	    xreallocarray(cloud->rentals, cloud->rental_count + 1, sizeof(*cloud->rentals));
	rental = &cloud->rentals[cloud->rental_count++];
	snprintf(rental->name, sizeof(rental->name), "%s", name);
	rental->answer = json_dumps(body, JSON_COMPACT);
}

/* Rents one machine and returns its id. */
static json_t *rent_machine(struct standin *standin, const json_t *request)
{
	const char *type = json_string_value(json_object_get(request, W_MACHINE_TYPE));
	const char *zone = json_string_value(json_object_get(request, W_ZONE));
	bool spot = json_is_true(json_object_get(request, W_SPOT));
	struct standin_machine *machine = standin_machine_add(standin, type, zone, spot);

	if (standin->cloud.never_boot_count > 0) {
		standin->cloud.never_boot_count--;
		machine->up_at = INFINITY;
	}
	return json_string(machine->id);
}

/* Rents the requested number of machines, or as many as can be rented. Returns their ids. */
static json_t *rent_machines(struct standin *standin, const json_t *request)
{
	const char *type = json_string_value(json_object_get(request, W_MACHINE_TYPE));
	int wanted = (int)json_integer_value(json_object_get(request, W_MACHINE_COUNT));
	struct standin_cloud *cloud = &standin->cloud;
	json_t *ids = json_array();
	int rented = 0;

	for (size_t i = 0; i < cloud->type_count; i++) {
		if (strcmp(cloud->types[i].name, type))
			continue;
		for (; cloud->capacity[i] > 0 && rented < wanted; rented++) {
			cloud->capacity[i]--;
			json_array_append_new(ids, rent_machine(standin, request));
		}
	}
	return ids;
}

static void answer_new_rental(struct standin *standin, uint64_t handle, const json_t *request)
{
	const char *name = json_string_value(json_object_get(request, W_REQUEST_NAME));
	json_t *ids = rent_machines(standin, request);
	json_t *body;

	if (!json_array_size(ids)) {
		json_decref(ids);
		standin_answer_error(standin, handle, STATUS_UNAVAILABLE, "no capacity");
		return;
	}
	body = json_pack("{s:o}", W_MACHINES_LIST, ids);
	record_rental(&standin->cloud, name, body);
	standin_answer(standin, handle, STATUS_OK, body);
}

static void answer_rental(struct standin *standin, uint64_t handle, const char *body)
{
	json_t *request = wire_parse(body, strlen(body));
	const char *name = json_string_value(json_object_get(request, W_REQUEST_NAME));
	const struct standin_rental *rental = find_rental(&standin->cloud, name);

	if (rental)
		standin->callbacks->reply(standin->context, handle, STATUS_OK, rental->answer);
	else
		answer_new_rental(standin, handle, request);
	json_decref(request);
}

/* --- deletions --- */

/* Makes a deleted machine of this type available again, if the type allows that. */
static void return_capacity(struct standin_cloud *cloud, const struct machine_type *type)
{
	for (size_t i = 0; i < cloud->type_count; i++)
		if (cloud->reuse[i] && &cloud->types[i] == type)
			cloud->capacity[i]++;
}

static void delete_machine(struct standin *standin, const char *id)
{
	for (int i = 0; i < standin->machine_count; i++) {
		struct standin_machine *machine = &standin->machines[i];

		if (machine->power == POWER_DELETED || strcmp(machine->id, id))
			continue;
		standin_machine_power_off(standin, machine, true);
		return_capacity(&standin->cloud, machine->type);
	}
}

static void answer_deletion(struct standin *standin, uint64_t handle, const char *body)
{
	json_t *request = wire_parse(body, strlen(body));
	json_t *id;
	size_t i;

	json_array_foreach (json_object_get(request, W_MACHINES_LIST), i, id)
		delete_machine(standin, json_string_value(id));
	json_decref(request);
	standin_answer_error(standin, handle, STATUS_OK, "");
}

/* --- the inventory, which shows the machines as they were conf->inventory_lag_s ago --- */

/*
 * True if the inventory has the machine. Until the clock has passed the lag, all machines are
 * listed: those that a scenario begins with count as rented before it.
 */
static bool is_listed(const struct standin *standin, const struct standin_machine *machine)
{
	double lag_s = standin->conf->inventory_lag_s;

	if (standin->now - lag_s < machine->rented_at && standin->now > lag_s)
		return false;
	return machine->power != POWER_DELETED || standin->now - machine->off_at <= lag_s;
}

/* The machine's state in the inventory. A failure shows at once, the end of a boot with the lag. */
static const char *listed_state(const struct standin *standin,
				const struct standin_machine *machine)
{
	if (machine->power == POWER_OFF)
		return W_CLOUD_FAILED;
	if (standin->now - standin->conf->inventory_lag_s >= machine->up_at)
		return W_CLOUD_RUNNING;
	return W_CLOUD_BOOTING;
}

static json_t *encode_machine(const struct standin *standin, const struct standin_machine *machine)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:s,s:f}", W_ID, machine->id, W_ADDR, machine->addr,
			 W_MACHINE_TYPE, machine->type->name, W_ZONE, machine->zone, W_SPOT,
			 (int)machine->spot, W_STATE, listed_state(standin, machine), W_AGE,
			 standin->now - machine->rented_at);
}

static void answer_inventory(struct standin *standin, uint64_t handle)
{
	json_t *list = json_array();

	for (int i = 0; i < standin->machine_count; i++) {
		const struct standin_machine *machine = &standin->machines[i];

		if (is_listed(standin, machine))
			json_array_append_new(list, encode_machine(standin, machine));
	}
	standin_answer(standin, handle, STATUS_OK,
		       json_pack("{s:o,s:b}", W_MACHINES_LIST, list, W_MORE, 0));
}

void standin_cloud_handle_request(struct standin *standin, uint64_t handle, const char *method,
				  const char *path, const char *body)
{
	const struct standin_cloud *cloud = &standin->cloud;

	/* The text "trouble" stands for an outage. */
	if (cloud->down)
		standin_answer_error(standin, handle, STATUS_UNAVAILABLE, "trouble");
	else if (!strcmp(path, W_PATH_CATALOG))
		standin_answer(standin, handle, STATUS_OK,
			       wire_machine_types_encode(cloud->types, cloud->type_count));
	else if (!strcmp(path, W_PATH_DELETE))
		answer_deletion(standin, handle, body);
	else if (!strcmp(method, "POST"))
		answer_rental(standin, handle, body);
	else
		answer_inventory(standin, handle);
}
