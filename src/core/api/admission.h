/*
 * Admission: checks a submitted job's description for whether the job could ever run, and maps each
 * refusal to the answer for the user.
 */
#ifndef PLOVERLOFT_ADMISSION_H
#define PLOVERLOFT_ADMISSION_H

#include "core/runtime/http_status.h"
#include "wire/wire.h"

struct core;

enum admission_outcome {
	ADMISSION_ACCEPTED,
	ADMISSION_MALFORMED,	 /* the description can't be decoded */
	ADMISSION_UNKNOWN_TEAM,	 /* the settings don't have the job's team */
	ADMISSION_OVER_QUOTA,	 /* the job exceeds its team's quota even while nothing else runs */
	ADMISSION_NOT_READY,	 /* the catalog of machine types is not known yet */
	ADMISSION_UNSATISFIABLE, /* no allowed machine type is large enough for a task */
	/* The job's tasks have to be spread over two zones or more, but fit in fewer. */
	ADMISSION_TOO_FEW_ZONES,
	/* The job's record is larger than any value that the state service stores. */
	ADMISSION_RECORD_TOO_LARGE,
	ADMISSION_OVERLOADED /* the queue of submissions is full */
};

/* The result of the checks. */
struct admission {
	enum admission_outcome outcome;
	/* ADMISSION_MALFORMED: what the decoder names as wrong, see wire_job_decode; NULL
	 * otherwise. A static string. */
	const char *malformed_field;
};

/* An answer that refuses a request, with the body {"error": text}. */
struct error_reply {
	enum http_status status;
	int retry_after_s; /* value of the Retry-After header; 0: no such header */
	const char *text;  /* text of the error; a static string */
};

/* Checks the decoded description of a submitted job. `submitted_at` is wall time. */
struct admission admission_check(struct core *core, const struct job_spec *spec,
				 double submitted_at);
/* Returns the answer to a submission that was not accepted. */
struct error_reply admission_error(const struct admission *admission);

#endif
