/*
 * A user's request from its arrival to its answer. The list or the call in which the request waits
 * owns it. Answering the request frees it.
 */
#ifndef PLOVERLOFT_USER_REQUESTS_H
#define PLOVERLOFT_USER_REQUESTS_H

#include <stdbool.h>

#include "core/api/admission.h"
#include "core/api/job_index.h"
#include "core/runtime/call.h"

enum user_request_kind { USER_SUBMIT, USER_POLL, USER_CANCEL };

struct user_request {
	uint64_t connection; /* id of the connection to answer */
	enum user_request_kind kind;
	char id[ID_MAX];    /* id of the job */
	double received_at; /* when the request arrived, in steady seconds */
	/* When the request arrived, in seconds since 1970 on the wall clock. */
	double received_wall_at;
	/* Submissions: the decoded description; owned; NULL in other kinds. */
	struct job_spec *spec;
	/* Submissions: the body as received, NUL-terminated; owned; NULL in other kinds. */
	char *body;
	struct admission admission; /* submissions: the result of the checks of the description */
	/* Cancellations: a transaction was sent but not answered. It may have been committed, or
	 * may yet be, so this controller does not send another transaction for the request. */
	bool outcome_unknown;
	struct user_request *prev, *next; /* links of the list that owns the request */
};

/* Why a request fails, apart from admission. The answers are in user_requests.c. */
enum user_error {
	USER_ERROR_NO_SUCH_JOB,
	USER_ERROR_BUSY,	      /* too many lookups wait already */
	USER_ERROR_UNKNOWN_OUTCOME,   /* the request may have been carried out, or may yet be */
	USER_ERROR_STORE_UNAVAILABLE, /* the state service does not serve this controller */
	USER_ERROR_STORE_RATE_LIMIT   /* the state service limits the rate of requests */
};

/* Makes a request that arrived now. The caller owns the request, and frees it by answering it or
 * with user_request_free. */
struct user_request *user_request_new(struct core *core, uint64_t connection,
				      enum user_request_kind kind, const char *id);
/* Frees a struct user_request without answering it. Has the type of `free_arg` in struct call. */
void user_request_free(void *request);
/* Frees all requests of the list without answering them, and empties the list. */
void user_requests_clear(struct user_request **list);

/* Answers the request with the job's status and frees the request. */
void user_request_answer(struct core *core, struct user_request *request,
			 enum http_status http_status, struct job_status status);
/* Answers that the job is cancelled and frees the request. */
void user_request_answer_cancelled(struct core *core, struct user_request *request);
/* If the index of jobs has the final state of the request's job, answers with that state, frees the
 * request and returns true. */
bool user_request_answer_final(struct core *core, struct user_request *request);
/* Answers with the error and frees the request. */
void user_request_fail(struct core *core, struct user_request *request, enum user_error error);
/* Answers that the submission is refused, as `admission` of the request says, and frees the
 * request. */
void user_request_reject(struct core *core, struct user_request *request);
/*
 * Ends a request for which a call to the state service failed with `answer`. After a 429, the user
 * is answered 429 too. Otherwise the request is forwarded to another controller, which the state
 * service may serve, or fails if it cannot be forwarded. Frees the request.
 */
void user_request_forward_or_fail(struct core *core, struct user_request *request,
				  const struct call_answer *answer);

#endif
