/* Admission: whether a submitted job could ever run, and how a submission that is refused is
 * answered. */
#ifndef PLOVERLOFT_ADMISSION_H
#define PLOVERLOFT_ADMISSION_H

#include "core/runtime/http_status.h"
#include "wire/wire.h"

struct core;

enum admission_outcome {
	ADMISSION_ACCEPTED,
	ADMISSION_MALFORMED,	    /* the description can't be decoded */
	ADMISSION_UNKNOWN_TEAM,	    /* of no team in the settings */
	ADMISSION_OVER_QUOTA,	    /* more than its team may ever hold */
	ADMISSION_NOT_READY,	    /* the catalog of machine types is not known yet */
	ADMISSION_UNSATISFIABLE,    /* no allowed type of machine holds one of its tasks */
	ADMISSION_TOO_FEW_ZONES,    /* to be spread, but only one zone is allowed */
	ADMISSION_RECORD_TOO_LARGE, /* beyond what the state service keeps as one value */
	ADMISSION_OVERLOADED	    /* too many submissions wait already */
};

struct admission {
	enum admission_outcome outcome;
	const char
	    *malformed_field; /* static; the decoder's reason, if malformed; NULL otherwise */
};

/* An error as a user is answered. */
struct error_reply {
	enum http_status status;
	int retry_after_s; /* 0: none */
	const char *text;  /* static */
};

/* Decides on a decoded description. `submitted_at` is wall time. */
struct admission admission_check(struct core *core, const struct job_spec *spec,
				 double submitted_at);
/* The answer to a submission that was not accepted. */
struct error_reply admission_error(const struct admission *admission);

#endif
