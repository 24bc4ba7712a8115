/* The state service's history of changes, and the watches that wait for changes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/answers.h"
#include "standins/standin.h"
#include "standins/state_private.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define INITIAL_CHANGE_CAPACITY 256
#define MS_PER_S 1000.0
#define NUMBER_DIGITS 32 /* bytes of a number as text, with its NUL */

static void grow_changes(struct standin_state_service *state_service)
{
	size_t capacity = state_service->change_capacity;

	state_service->change_capacity = capacity ? capacity * 2 : INITIAL_CHANGE_CAPACITY;
	state_service->changes =
	    xreallocarray(state_service->changes, state_service->change_capacity,
			  sizeof(*state_service->changes));
}

void state_record_change(struct standin_state_service *state_service, const char *key,
			 json_t *value)
{
	struct standin_change *change;

	if (state_service->change_count == state_service->change_capacity)
		grow_changes(state_service);
	change = &state_service->changes[state_service->change_count++];
	change->revision = state_service->revision;
	snprintf(change->key, sizeof(change->key), "%s", key);
	change->value = json_incref(value);
}

static json_t *encode_change(const struct standin_change *change)
{
	json_int_t revision = (json_int_t)change->revision;

	if (!change->value)
		return json_pack("{s:s,s:I}", W_DROP, change->key, W_VERSION, revision);
	return json_pack("{s:s,s:O,s:I}", W_PUT, change->key, W_VALUE, change->value, W_VERSION,
			 revision);
}

/* The changes after the watch's revision, of keys with its prefix. */
static json_t *encode_events(const struct standin_state_service *state_service,
			     const struct standin_watch *watch)
{
	json_t *events = json_array();

	for (size_t i = 0; i < state_service->change_count; i++) {
		const struct standin_change *change = &state_service->changes[i];

		if (change->revision <= watch->after_revision)
			continue;
		if (!strncmp(change->key, watch->prefix, strlen(watch->prefix)))
			json_array_append_new(events, encode_change(change));
	}
	return events;
}

/*
 * Answers the watch if there are changes for it or its time is over. Returns true if it was
 * answered; the caller then unlinks and frees it. During an outage, or while the controller's
 * requests or watches get no answers, it stays open.
 */
static bool answer_watch(struct standin *standin, const struct standin_watch *watch)
{
	const struct standin_state_service *state_service = &standin->state_service;
	json_t *events;

	if (state_service->down || state_service->refuses[watch->controller] ||
	    state_service->stalls[watch->controller])
		return false;
	events = encode_events(state_service, watch);
	if (!json_array_size(events) && standin->now < watch->expires_at) {
		json_decref(events);
		return false;
	}
	standin_answer(standin, watch->handle, STATUS_OK,
		       json_pack("{s:I,s:o}", W_REVISION, (json_int_t)state_service->revision,
				 W_EVENTS, events));
	return true;
}

void state_watches_answer(struct standin *standin)
{
	struct standin_watch **link = &standin->state_service.watches;

	while (*link) {
		struct standin_watch *watch = *link;

		if (answer_watch(standin, watch)) {
			*link = watch->next;
			free(watch);
		} else {
			link = &watch->next;
		}
	}
}

/* True if some of the changes after the watch's revision are no longer kept. */
static bool is_too_old(const struct standin_state_service *state_service,
		       const struct standin_watch *watch)
{
	size_t count = state_service->change_count;
	size_t kept = state_service->changes_kept;

	return kept && count > kept &&
	       watch->after_revision + 1 < state_service->changes[count - kept].revision;
}

void state_watch(struct standin *standin, int controller, uint64_t handle, const char *path)
{
	struct standin_state_service *state_service = &standin->state_service;
	struct standin_watch *watch = xcalloc(1, sizeof(*watch));
	char number[NUMBER_DIGITS];

	watch->handle = handle;
	watch->controller = controller;
	query_parameter(path, W_PREFIX, watch->prefix, sizeof(watch->prefix));
	query_parameter(path, W_AFTER, number, sizeof(number));
	watch->after_revision = strtoull(number, NULL, 10);
	if (is_too_old(state_service, watch)) {
		free(watch);
		standin_answer_error(standin, handle, STATUS_GONE, "too old");
		return;
	}
	query_parameter(path, W_WATCH_WAIT, number, sizeof(number));
	watch->expires_at = standin->now + atof(number) / MS_PER_S;
	watch->next = state_service->watches;
	state_service->watches = watch;
	state_watches_answer(standin);
}
