/*
 * Keys and values of the records of jobs in the state service. Submissions, cancellations and the
 * leader write them. An open record (KEY_OPEN_JOBS) holds the description of a job that has not
 * ended; a final record (KEY_FINAL_JOBS) replaces it and says how the job ended.
 */
#ifndef PLOVERLOFT_JOB_RECORD_H
#define PLOVERLOFT_JOB_RECORD_H

#include <stdbool.h>
#include <stddef.h>

#include "core/runtime/call.h"
#include "wire/wire.h"

enum job_record_kind { RECORD_OPEN, RECORD_FINAL };

/* How a job ended: the contents of a final record. */
struct job_outcome {
	enum job_state state; /* how the job ended: JOB_STATE_DONE or JOB_STATE_CANCELLED */
	uint32_t task_count;
};

/* Writes the key of the job's open or final record. */
void job_record_key(char key[KEY_MAX], enum job_record_kind kind, const char *id);
/* Returns the value of a job's open record; the caller owns the value. `submitted_at` is wall
 * time. */
json_t *job_record_open_value(const struct job_spec *spec, double submitted_at);
/* Returns a copy, marked as cancelled, of the value of an open record. The caller owns the copy. */
json_t *job_record_cancelled_value(json_t *value);
/* Removes the list of allowed machine types from an open record's value, to make it smaller. */
void job_record_remove_machine_types(json_t *value);
/* Returns the largest size in bytes that the value of the job's open record may get: the size of
 * the value marked as cancelled. */
size_t job_record_max_bytes(const struct job_spec *spec, double submitted_at);
/*
 * Decodes the job description in an open record's value. Returns 0, or -1 and the name of the
 * invalid field in `*field`. The caller frees `spec` with wire_job_free in both cases.
 */
int job_record_decode_spec(const json_t *value, struct job_spec *spec, const char **field);
/* Returns the wall time at which a job was submitted, from the value of the job's open record. */
double job_record_submitted_at(const json_t *value);
/* Returns the value of a job's final record; the caller owns the value. */
json_t *job_record_final_value(const struct job_outcome *outcome);
/* Returns true if an open record's value is marked as cancelled. */
bool job_record_is_cancelled(const json_t *value);
/* Decodes the value of a final record. */
struct job_outcome job_record_outcome(const json_t *value);

#endif
