/*
 * The users' interface: submissions, polls and cancellations. Every controller answers them: by
 * the records in the state service, and counts of tasks by what the leader knows or sent of late.
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

struct job_api {
	struct submission_queue submissions;
	struct lookup_queue lookups;
	struct job_index index;
	struct task_counts counts;
	struct cancellations cancellations;
	struct forwarded_request *forwarded; /* by connection; owned */
};

/* Sets up the state of a new core. */
void api_init(struct core *core);
/* Answers a user's request, at once or when the state service has answered. */
void api_request(struct core *core, const struct core_request *request);
/* Sends what has gathered: submissions, and reads for waiting lookups. */
void api_tick(struct core *core);
/* Frees all requests, unanswered, and the index. The core is about to be freed. */
void api_clear(struct core *core);

#endif
