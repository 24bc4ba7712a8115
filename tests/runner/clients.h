/* Simulated clients: they submit, poll and cancel jobs, and try again until they are answered. */
#ifndef PLOVERLOFT_RUNNER_CLIENTS_H
#define PLOVERLOFT_RUNNER_CLIENTS_H

#include "world.h"

/* Statuses of answers that clients tell apart. */
enum answer_status {
	ANSWER_OK = 200,
	ANSWER_CREATED = 201,
	ANSWER_NOT_FOUND = 404,
	ANSWER_TOO_MANY_REQUESTS = 429,
	ANSWER_UNAVAILABLE = 503
};

/* Sends a request for a job now; `controller` is an index, or HOST_ANY for one at random. */
void client_request_job(struct world *world, enum client_request_kind kind, const char *job,
			int controller);
/*
 * Sends any request to a controller that is up. It is not tried again, and its answer counts only
 * until clients_tick gives it up: at once in a scenario that has run for a client's patience.
 */
void client_request_raw(struct world *world, int controller, const char *method, const char *path,
			const char *body);
/* Takes a controller's answer; the checker of the rules is told what the client learned. */
void client_answer(struct world *world, const struct message *answer);
/* Once a second: tries again what was not answered, and polls all accepted jobs. */
void clients_tick(struct world *world);
/* Cancels the job that the scenario names (cancelend) at the moment when its last task ends. */
void clients_cancel_at_end(struct world *world);
/* Frees all requests under way. */
void clients_free(struct world *world);

#endif
