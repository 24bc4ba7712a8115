/*
 * A user's request from its arrival to its answer. It is owned by the queue or the call in which it
 * waits; answering it frees it.
 */
#ifndef PLOVERLOFT_USER_REQUESTS_H
#define PLOVERLOFT_USER_REQUESTS_H

#include <stdbool.h>

#include "core/api/admission.h"
#include "core/api/job_index.h"
#include "core/runtime/call.h"

enum user_kind { USER_SUBMIT, USER_POLL, USER_CANCEL };

struct user_request {
	uint64_t connection; /* the connection that is to be answered */
	enum user_kind kind;
	char id[ID_MAX];	 /* of the job */
	double received_at;	 /* steady */
	double received_wall_at; /* wall */
	/* of a submission */
	struct job_spec *spec; /* owned; NULL: another kind */
	char *body;	       /* owned; as it came, with a NUL; NULL: another kind */
	struct admission admission;
	/* of a cancellation: its commit may have been carried out, so it is not sent again */
	bool outcome_unknown;
	struct user_request *prev, *next;
};

/* Why a request is refused. */
enum user_error {
	USER_ERROR_NO_SUCH_JOB,
	USER_ERROR_BUSY,	      /* too many requests wait already */
	USER_ERROR_UNKNOWN_OUTCOME,   /* it may have been carried out */
	USER_ERROR_STORE_UNAVAILABLE, /* the state service does not serve this controller */
	USER_ERROR_STORE_RATE_LIMIT   /* the state service refuses more requests for now */
};

/* Owned by the caller, who frees it by user_request_free or by answering it. */
struct user_request *user_request_new(struct core *core, uint64_t connection, enum user_kind kind,
				      const char *id);
/* Frees a struct user_request; has the type of `free_arg` in struct call. */
void user_request_free(void *request);
/* Frees all requests of a list. */
void user_requests_clear(struct user_request **list);

/* Answers with the job's status, and frees the request. */
void user_request_answer(struct core *core, struct user_request *request,
			 enum http_status http_status, struct job_status status);
/* Answers that the job is cancelled, and frees the request. */
void user_request_answer_cancelled(struct core *core, struct user_request *request);
/* Answers if the job's final state is in the index, and frees the request; false if it is not. */
bool user_request_answer_final(struct core *core, struct user_request *request);
/* Answers with the error, and frees the request. */
void user_request_fail(struct core *core, struct user_request *request, enum user_error error);
/* Answers that the submission was not admitted, and frees the request. */
void user_request_reject(struct core *core, struct user_request *request);
/*
 * The state service refused a call on behalf of the request: it is forwarded to another controller
 * that may be served, or else fails. Frees the request.
 */
void user_request_unserved(struct core *core, struct user_request *request,
			   const struct call_answer *answer);

#endif
