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

/* State of the watch. Times are steady. */
struct jobs_watch {
	uint64_t revision; /* all changes up to this revision are loaded */
	bool in_flight;	   /* a watch request has no answer yet */
	double retry_at;   /* earliest time of the next watch request */
};

/*
 * Lets the watch begin after `revision`, that of the first page of jobs that recovery read. The
 * request for that page was sent at `sent_at` (steady).
 */
void jobs_watch_start(struct core *core, uint64_t revision, double sent_at);
/* Sends the next watch request if none is in flight and the delay after a failure has passed. */
void jobs_watch_tick(struct core *core);
/* Resets the watch at the end of a term. Answers to requests of that term are ignored. */
void jobs_watch_clear(struct core *core);
/*
 * Loads an open record, or a newer version of it, into its job, which is added if it is not known.
 * The caller keeps ownership of the value. A record that can't be decoded is logged and ignored.
 */
void job_record_load(struct core *core, const char *job_id, const json_t *value, uint64_t version);

#endif
