/*
 * The records of jobs in the state service, as submissions, cancellations and the leader write
 * them: an open job's (KEY_OPEN_JOBS) holds its description, a final one's (KEY_FINAL_JOBS) how it
 * ended.
 */
#ifndef PLOVERLOFT_JOB_RECORD_H
#define PLOVERLOFT_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>

#include "core/runtime/call.h"
#include "wire/wire.h"

enum job_record_kind { RECORD_OPEN, RECORD_FINAL };

/* How a job ended. */
struct job_outcome {
	enum job_state state; /* JOB_STATE_DONE or JOB_STATE_CANCELLED */
	uint32_t task_count;
};

/* The key of a job's record. */
void job_record_key(char key[KEY_MAX], enum job_record_kind kind, const char *id);
/* The value of an open job's record, which the caller owns. `submitted_at` is wall time. */
json_t *job_record_value(const struct job_spec *spec, double submitted_at);
/* The same value with a cancellation noted in it, which the caller owns. */
json_t *job_record_cancelled_value(json_t *value);
/* Takes the list of allowed machine types out of the value, which gets smaller by it. */
void job_record_drop_types(json_t *value);
/* Bytes of an open job's record at most: a cancellation is noted in it later. */
size_t job_record_bytes(const struct job_spec *spec, double submitted_at);
/* 0, or -1 with the field that is wrong; either way the caller frees what the description holds. */
int job_record_spec(const json_t *value, struct job_spec *spec, const char **field);
/* When the job was submitted (wall). */
double job_record_submitted_at(const json_t *value);
/* The value of a final record, which the caller owns. */
json_t *job_record_final_value(const struct job_outcome *outcome);
/* A cancellation is noted in the value of an open job's record. */
bool job_record_is_cancelled(const json_t *value);
/* What the value of a final record holds. */
struct job_outcome job_record_outcome(const json_t *value);

#endif
