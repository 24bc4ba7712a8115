/* Simulates a state service that has no records and a cloud that has one machine type. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "core/runtime/http_status.h"
#include "core/state.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define PAGE_MAX 500		 /* most machines in a page of the inventory, from the protocol */
#define LISTED_MACHINE_BYTES 200 /* most bytes of one machine in a page */
#define PAGE_SPARE 100		 /* bytes of a page beside its machines */
#define ANSWER_MAX 512		 /* bytes of any answer that is not a page, with its NUL */

static const char catalog[] =
    "{\"" W_MACHINE_TYPES "\":[{\"" W_TYPE_NAME "\":\"g\",\"" W_CPUS "\":16,\"" W_GPUS
    "\":0,\"" W_MEMORY "\":64,\"" W_CACHE "\":50,\"" W_FETCH_RATE "\":1,\"" W_PRICE
    "\":1,\"" W_SPOT_PRICE "\":0.3,\"" W_BOOT_TIME "\":30,\"" W_ZONES "\":[\"a\"]}]}";

static bool begins_with(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

/* --- the cloud --- */

/* Returns the number of the page's first machine. The path names the machine before it, if any. */
static int first_machine_of_page(const char *path)
{
	static const char after[] = W_AFTER "=vm-";
	const char *parameter = strstr(path, after);

	return parameter ? atoi(parameter + strlen(after)) + 1 : 0;
}

static int format_machine(char *text, size_t size, int number)
{
	return snprintf(text, size,
			"{\"" W_ID "\":\"vm-%06d\",\"" W_ADDR
			"\":\"10.1.%d.%d:9000\",\"" W_MACHINE_TYPE "\":\"g\",\"" W_ZONE
			"\":\"a\",\"" W_SPOT "\":false,\"" W_STATE "\":\"" W_CLOUD_RUNNING
			"\",\"" W_AGE "\":60}",
			number, number / 250, number % 250 + 1);
}

/* Returns a page of the inventory as JSON, which is valid until the next call. */
static const char *inventory_page(struct bench *bench, const char *path)
{
	int first = first_machine_of_page(path);
	int last =
	    first + PAGE_MAX < bench->listed_machines ? first + PAGE_MAX : bench->listed_machines;
	size_t size = (size_t)PAGE_MAX * LISTED_MACHINE_BYTES + PAGE_SPARE;
	size_t length;

	free(bench->page);
	bench->page = xmalloc(size);
	length = (size_t)snprintf(bench->page, size, "{\"" W_MACHINES_LIST "\":[");
	for (int i = first; i < last; i++) {
		if (i > first)
			bench->page[length++] = ',';
		length += (size_t)format_machine(bench->page + length, size - length, i);
	}
	snprintf(bench->page + length, size - length, "],\"" W_MORE "\":%s}",
		 last < bench->listed_machines ? "true" : "false");
	return bench->page;
}

/* --- the state service --- */

/*
 * Writes the answer to a read or a transaction, with a new revision. The revision of a transaction
 * on the leader's key is also the leader's fencing token.
 */
static void format_state_answer(struct bench *bench, const struct core_action *action, char *text,
				size_t size)
{
	bench->revision++;
	if (!strcmp(action->path, W_PATH_TXN) && strstr(action->body, "\"leader\"")) {
		bench->token = bench->revision;
		snprintf(text, size, "{\"" W_REVISION "\":%llu}", bench->revision);
	} else {
		snprintf(text, size, "{\"" W_REVISION "\":%llu,\"" W_ITEMS "\":[]}",
			 bench->revision);
	}
}

/* Returns the answer's body, or NULL for a watch, which stays open. It may be written to `text`. */
static const char *answer_body(struct bench *bench, const struct core_action *action, char *text,
			       size_t size)
{
	if (!strcmp(action->path, W_PATH_CATALOG))
		return catalog;
	if (begins_with(action->path, W_PATH_WATCH))
		return NULL;
	if (begins_with(action->path, W_PATH_MACHINES))
		return inventory_page(bench, action->path);
	if (!strcmp(action->path, W_PATH_LEASES))
		snprintf(text, size, "{\"" W_LEASE "\":7}");
	else
		format_state_answer(bench, action, text, size);
	return text;
}

/* Returns the answer's status. A read of a single key finds none: the service has no records. */
static enum http_status answer_status(const struct core_action *action)
{
	return begins_with(action->path, W_PATH_KEYS "/") ? STATUS_NOT_FOUND : STATUS_OK;
}

static void send_answer(struct bench *bench, uint64_t id, enum http_status status, const char *body)
{
	struct core_answer answer = {
	    .id = id,
	    .status = (int)status,
	    .body = body,
	    .len = strlen(body),
	};

	core_answer(bench->core, bench_time(bench), &answer);
}

/* Returns the open jobs' records that the transaction puts, as events. The caller owns the list. */
static json_t *job_events(const struct bench *bench, json_t *transaction)
{
	json_t *events = json_array();
	json_t *change;
	size_t i;

	json_array_foreach (json_object_get(transaction, W_CHANGES), i, change) {
		const char *key = json_string_value(json_object_get(change, W_PUT));

		if (!key || !begins_with(key, KEY_OPEN_JOBS))
			continue;
		json_object_set_new(change, W_VERSION, json_integer((json_int_t)bench->revision));
		json_array_append(events, change);
	}
	return events;
}

/*
 * Returns the body of the answer to a watch, which the caller frees. It has the whole transaction
 * in a field that the core ignores: it was there in every version for which there are figures, and
 * without it new figures could not be compared with them.
 */
static char *changes_answer(const struct bench *bench, json_t *events, json_t *transaction)
{
	return wire_serialize(json_pack("{s:I,s:O,s:O}", W_REVISION, (json_int_t)bench->revision,
					W_EVENTS, events, "of", transaction));
}

/* Answers the leader's open watch of the jobs with the records of jobs that the transaction put. */
static void answer_jobs_watch(struct bench *bench, const char *body)
{
	json_t *transaction = wire_parse(body, strlen(body));
	json_t *events = job_events(bench, transaction);
	uint64_t watch = bench->jobs_watch;

	if (json_array_size(events) && watch) {
		char *text = changes_answer(bench, events, transaction);

		bench->jobs_watch = 0;
		send_answer(bench, watch, STATUS_OK, text);
		free(text);
	}
	json_decref(events);
	json_decref(transaction);
}

/* --- the core's calls --- */

static void answer_call(struct bench *bench, const struct core_action *action)
{
	char text[ANSWER_MAX];
	const char *body = answer_body(bench, action, text, sizeof(text));

	if (body)
		send_answer(bench, action->id, answer_status(action), body);
	else if (strstr(action->path, "=" KEY_OPEN_JOBS))
		bench->jobs_watch = action->id;
	if (body && !strcmp(action->path, W_PATH_TXN))
		answer_jobs_watch(bench, action->body);
}

void bench_answer_all(struct bench *bench)
{
	struct core_action *action;

	while ((action = core_pop_action(bench->core))) {
		if (action->kind == ACT_SEND)
			answer_call(bench, action);
		core_action_free(action);
	}
}
