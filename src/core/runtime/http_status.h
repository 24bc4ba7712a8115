/* The HTTP statuses that the protocol uses, by what they mean in it. */
#ifndef PLOVERLOFT_HTTP_STATUS_H
#define PLOVERLOFT_HTTP_STATUS_H

enum http_status {
	STATUS_OK = 200,
	STATUS_CREATED = 201,
	STATUS_BAD_REQUEST = 400, /* malformed, or beyond a limit of the state service */
	STATUS_NOT_FOUND = 404,
	STATUS_METHOD_NOT_ALLOWED = 405,
	STATUS_CONFLICT = 409,	    /* a condition of a transaction does not hold */
	STATUS_GONE = 410,	    /* a watch from a revision that is no longer kept */
	STATUS_MISDIRECTED = 421,   /* another controller leads */
	STATUS_UNPROCESSABLE = 422, /* understood, but it can never run */
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_UNAVAILABLE = 503
};

#endif
