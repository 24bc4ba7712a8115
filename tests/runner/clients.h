/*
 * Simulated clients, with which users submit, poll and cancel jobs. Submissions and cancellations
 * are retried until they get a final answer: not 429 or 503, nor 404 for a cancellation.
 */
#ifndef PLOVERLOFT_RUNNER_CLIENTS_H
#define PLOVERLOFT_RUNNER_CLIENTS_H

#include "world.h"

/* HTTP statuses that clients distinguish. */
enum answer_status {
	ANSWER_OK = 200,
	ANSWER_CREATED = 201,
	ANSWER_NOT_FOUND = 404,
	ANSWER_TOO_MANY_REQUESTS = 429,
	ANSWER_UNAVAILABLE = 503
};

/* Sends a request about a job. `controller` is an index; HOST_ANY: a random one for each try. */
void client_request_job(struct world *world, enum client_request_kind kind, const char *job,
			int controller);
/*
 * Sends any request to a controller that is up. It is not retried, and its answer counts only until
 * clients_tick drops the request. Once a scenario has run for longer than a client's timeout, that
 * is the next call of clients_tick.
 */
void client_request_raw(struct world *world, int controller, const char *method, const char *path,
			const char *body);
/* Handles a controller's answer to a client, and passes it to the checker of the rules. */
void client_answer(struct world *world, const struct message *answer);
/* Called once a second: retries requests that were not answered, and polls all accepted jobs. */
void clients_tick(struct world *world);
/* Cancels the job that a cancel_at_end line names, as soon as its last task has ended. */
void clients_cancel_at_end(struct world *world);
/* Frees all requests. */
void clients_free(struct world *world);

#endif
