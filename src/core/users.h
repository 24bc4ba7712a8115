/*
 * Users' requests: submissions, polls and cancellations.
 */
#ifndef PLOVERLOFT_USERS_H
#define PLOVERLOFT_USERS_H

#include "core/call.h"
#include "core/job.h"

enum user_kind { USER_SUBMIT, USER_POLL, USER_CANCEL };

/* A request of a user that is not answered yet. */
struct user_req {
	uint64_t conn;
	enum user_kind kind;
	char id[ID_MAX];
	struct job_spec *spec;
	char *body;  /* of a submission, as it came */
	int verdict; /* 400 or 422 to give if the job is not known; 0: valid */
	const char *why;
	double since; /* steady */
	double wall;  /* when a submission came */
	bool settled; /* the commit's outcome is unknown: read before answering */
	struct user_req *prev, *next;
};

/* A job that users may ask about. */
struct known {
	char id[ID_MAX];
	enum job_state state; /* queued, cancelled, or if final, done */
	bool final;
	struct known *prev, *next; /* among the final ones, oldest first */
	uint32_t done, running;	   /* tasks */
	UT_hash_handle hh;
};

struct users {
	struct user_req *submits; /* waiting for a transaction */
	int nsubmits;
	struct user_req *submits_in_flight;
	size_t submit_largest; /* bytes of the largest record in that transaction */
	int nreads;
	struct known *known;
	struct known *finals;
	size_t nfinals;
	struct user_req *asking; /* wait for the next read of changes */
	struct user_req *asked;	 /* wait for the read under way */
	bool index_known, index_out;
	uint64_t index_revision;
	char index_last[KEY_MAX];
	double index_next;    /* steady; no read before */
	double index_sent;    /* steady; the read of changes under way */
	double index_read_at; /* steady; when the newest read that came back was sent */
	double counts_at, counts_wanted, counts_next; /* steady */
	uint64_t counts_token;
	bool counts_out;
};

/* --- users.c, for submissions too --- */

struct user_req *user_req_new(struct core *core, uint64_t conn, enum user_kind kind,
			      const char *id);
void user_free(void *request);
/* Answers with an error, and frees the request. */
void user_fail(struct core *core, struct user_req *request, int status, int retry, const char *why);
/* The state service does not serve us: another controller may be served, else the user is told. */
void user_unserved(struct core *core, struct user_req *request, int status);
/* Answers with the job's state, and frees the request. */
void user_state(struct core *core, struct user_req *request, int status, enum job_state state,
		uint32_t done, uint32_t running);
/* Answers if the job's final state is known; false if it is not. */
bool user_answer_final(struct core *core, struct user_req *request);
/* Answers once the records, as they are from now on, have told. */
void user_lookup(struct core *core, struct user_req *request);

void users_request(struct core *core, const struct core_request *request);
void users_tick(struct core *core);
/* The record of an open job, which the caller owns. */
json_t *users_record(const struct job_spec *spec, double submitted, bool cancelled);
/* The job is over; its final record is committed. */
void users_note_final(struct core *core, const char *id, enum job_state s, uint32_t ntasks);
void users_clear(struct core *core);

#endif
