/*
 * The leader's watch on the open records of jobs, by which it learns of submissions and
 * cancellations that other controllers commit.
 */
#ifndef PLOVERLOFT_JOBS_WATCH_H
#define PLOVERLOFT_JOBS_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

struct core;

/* State of the watch on the open records. Times are seconds on the steady clock. */
struct jobs_watch {
	uint64_t revision; /* all changes of open records up to this revision are loaded */
	bool in_flight;	   /* a watch request has no answer yet */
	double retry_at;   /* earliest time of the next watch request */
};

/*
 * Lets the watch begin after `revision`, the revision of the first page of jobs that recovery read.
 * The request for this page was sent at `sent_at` (steady seconds).
 */
void jobs_watch_start(struct core *core, uint64_t revision, double sent_at);
/* Sends the next watch request if none is in flight and the delay after a failure has passed. */
void jobs_watch_tick(struct core *core);
/* Resets the watch at the end of a term. Answers to watch requests of the ended term are
 * ignored. */
void jobs_watch_clear(struct core *core);
/*
 * Loads a job's open record, or a newer version of the record, into the job. Adds the job if it is
 * not known yet. The caller keeps ownership of the value. A record that can't be decoded is logged
 * and ignored.
 */
void job_record_load(struct core *core, const char *job_id, const json_t *value, uint64_t version);

#endif
