/* Recovery of the state from the records when leadership begins, and the jobs' changes afterwards.
 */
#ifndef PLOVERLOFT_RECOVERY_H
#define PLOVERLOFT_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

struct core;

/* The leader's reads of open jobs' records. */
struct jobs_watch {
	uint64_t revision;
	double read_at; /* when the newest read of changes that came back was sent */
	bool in_flight;
	double retry_at; /* steady; no read before */
};

/* Reads all records; once done, this controller leads. */
void recovery_start(struct core *core);
/* Keeps a watch on the open jobs' records. */
void jobs_watch_tick(struct core *core);
/* Takes an open job's record, or a newer version of it. */
void recovery_take_job_record(struct core *core, const char *id, json_t *value, uint64_t version);

#endif
