/*
 * The users' API: submissions, polls and cancellations. Every controller answers them from the
 * jobs' records in the state service. Task counts are not in the records: the leader shows its own
 * counts, and the other controllers show the counts that the leader sent them within
 * COUNTS_MAX_AGE_S.
 */
#ifndef PLOVERLOFT_API_H
#define PLOVERLOFT_API_H

#include "core/api/cancellations.h"
#include "core/api/job_index.h"
#include "core/api/lookups.h"
#include "core/api/submissions.h"
#include "core/api/task_counts.h"

struct core;
struct core_request;
struct forwarded_request;

/* The state of the users' API. */
struct job_api {
	struct submission_queue submissions;
	struct lookup_queue lookups;
	struct job_index index;
	struct task_counts counts;
	struct cancellations cancellations;
	/* Hash table by connection: the requests that were forwarded to this controller and are not
	 * answered yet; owned. */
	struct forwarded_request *forwarded;
};

/* Initialises the API of a new core. */
void api_init(struct core *core);
/* Routes a user's request. The request is answered at once, or after calls to the state service. */
void api_request(struct core *core, const struct core_request *request);
/* Commits waiting submissions, and reads the records that waiting lookups need. */
void api_tick(struct core *core);
/* Frees all submissions and lookups without answering them, and the index of jobs. Called when the
 * core is about to be freed. */
void api_clear(struct core *core);

#endif
