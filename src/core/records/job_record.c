#include "core/records/job_record.h"

#include <stdio.h>
#include <string.h>

#include "core/store/store_client.h"
#include "wire/names.h"

/* Fields of the records' values. */
#define FIELD_SPEC "spec"
#define FIELD_SUBMITTED_AT "at"
#define FIELD_CANCELLED "cancelled"
#define FIELD_STATE "state"
#define FIELD_TASK_COUNT "tasks"

void job_record_key(char key[KEY_MAX], enum job_record_kind kind, const char *id)
{
	const char *prefix = kind == RECORD_OPEN ? KEY_OPEN_JOBS : KEY_FINAL_JOBS;

	snprintf(key, KEY_MAX, "%s%s", prefix, id);
}

json_t *job_record_open_value(const struct job_spec *spec, double submitted_at)
{
	return json_pack("{s:o,s:f}", FIELD_SPEC, wire_job_encode(spec), FIELD_SUBMITTED_AT,
			 submitted_at);
}

json_t *job_record_cancelled_value(json_t *value)
{
	json_t *cancelled = json_copy(value);

	json_object_set_new(cancelled, FIELD_CANCELLED, json_true());
	return cancelled;
}

void job_record_remove_machine_types(json_t *value)
{
	json_object_del(json_object_get(value, FIELD_SPEC), W_MACHINE_TYPES);
}

size_t job_record_max_bytes(const struct job_spec *spec, double submitted_at)
{
	json_t *value = job_record_open_value(spec, submitted_at);
	size_t bytes;

	json_object_set_new(value, FIELD_CANCELLED, json_true());
	bytes = wire_value_bytes(value);
	json_decref(value);
	return bytes;
}

int job_record_decode_spec(const json_t *value, struct job_spec *spec, const char **field)
{
	return wire_job_decode(json_object_get(value, FIELD_SPEC), spec, field);
}

double job_record_submitted_at(const json_t *value)
{
	return json_number_value(json_object_get(value, FIELD_SUBMITTED_AT));
}

json_t *job_record_final_value(const struct job_outcome *outcome)
{
	return json_pack("{s:s,s:i}", FIELD_STATE, wire_job_state_name(outcome->state),
			 FIELD_TASK_COUNT, (int)outcome->task_count);
}

bool job_record_is_cancelled(const json_t *value)
{
	return json_is_true(json_object_get(value, FIELD_CANCELLED));
}

struct job_outcome job_record_outcome(const json_t *value)
{
	const char *state = json_string_value(json_object_get(value, FIELD_STATE));
	bool done = state && !strcmp(state, W_JOB_DONE);
	struct job_outcome outcome;

	outcome.state = done ? JOB_STATE_DONE : JOB_STATE_CANCELLED;
	outcome.task_count = (uint32_t)json_integer_value(json_object_get(value, FIELD_TASK_COUNT));
	return outcome;
}
