/*
 * Users' requests: submissions, polls and cancellations.
 */
#ifndef PLOVERLOFT_API_H
#define PLOVERLOFT_API_H

#include "core/runtime/call.h"
#include "core/model/job.h"

enum user_kind { USER_SUBMIT, USER_POLL, USER_CANCEL };

/* A request of a user that is not answered yet. */
struct user_request {
	uint64_t conn;
	enum user_kind kind;
	char id[ID_MAX];
	struct job_spec *spec;
	char *body;    /* of a submission, as it came */
	int rejection; /* 400 or 422 to give if the job is not known; 0: valid */
	const char *reason;
	double received_at;   /* steady */
	double received_wall; /* when a submission came */
	bool outcome_unknown; /* the commit's outcome is unknown: read before answering */
	struct user_request *prev, *next;
};

/* A job that users may ask about. */
struct indexed_job {
	char id[ID_MAX];
	enum job_state state; /* queued, cancelled, or if final, done */
	bool final;
	struct indexed_job *prev, *next;    /* among the final ones, oldest first */
	uint32_t done_count, running_count; /* tasks */
	UT_hash_handle hh;
};

struct job_api {
	struct user_request *submissions; /* waiting for a transaction */
	int submission_count;
	struct user_request *submissions_in_flight;
	size_t largest_submission; /* bytes of the largest record in that transaction */
	int lookup_count;
	struct indexed_job *index;
	struct indexed_job *finals;
	size_t final_count;
	struct user_request *lookups_waiting;	/* wait for the next read of changes */
	struct user_request *lookups_in_flight; /* wait for the read under way */
	bool index_valid, index_in_flight;
	uint64_t index_revision;
	char index_cursor[KEY_MAX];
	double index_retry_at; /* steady; no read before */
	double index_sent_at;  /* steady; the read of changes under way */
	double index_read_at;  /* steady; when the newest read that came back was sent */
	double counts_received_at, counts_wanted_at, next_counts_at; /* steady */
	uint64_t counts_token;
	bool counts_in_flight;
	struct confirmed_cancel *confirmed; /* oldest first */
	struct forwarded_request *forwarded;
	double next_ping_at; /* steady */
};

/* --- users.c, for submissions too --- */

struct user_request *user_request_new(struct core *core, uint64_t conn, enum user_kind kind,
				      const char *id);
void user_request_free(void *request);
/* Answers with an error, and frees the request. */
void user_request_fail(struct core *core, struct user_request *request, int status, int retry,
		       const char *why);
/* The state service does not serve us: another controller may be served, else the user is told. */
void user_request_unserved(struct core *core, struct user_request *request,
			   const struct call_answer *answer);
/* Answers with the job's state, and frees the request. */
void user_request_answer_state(struct core *core, struct user_request *request, int status,
			       enum job_state state, uint32_t done, uint32_t running);
/* Answers if the job's final state is known; false if it is not. */
bool user_request_answer_final(struct core *core, struct user_request *request);
/* Answers once the records, as they are from now on, have told. */
void user_request_lookup(struct core *core, struct user_request *request);

void api_request(struct core *core, const struct core_request *request);
void api_tick(struct core *core);
/* The record of an open job, which the caller owns. */
json_t *job_record_value(const struct job_spec *spec, double submitted, bool cancelled);
/* The job is over; its final record is committed. */
void job_index_note_final(struct core *core, const char *id, enum job_state s, uint32_t ntasks);
void api_clear(struct core *core);

#endif
