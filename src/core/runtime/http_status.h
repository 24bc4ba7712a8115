/* The HTTP statuses that the platform's protocol uses, with their meaning in the protocol. */
#ifndef PLOVERLOFT_HTTP_STATUS_H
#define PLOVERLOFT_HTTP_STATUS_H

enum http_status {
	STATUS_OK = 200,
	STATUS_CREATED = 201,
	STATUS_BAD_REQUEST = 400, /* malformed, or exceeds a limit of the state service */
	STATUS_NOT_FOUND = 404,
	STATUS_METHOD_NOT_ALLOWED = 405,
	STATUS_CONFLICT = 409,	    /* a condition, such as a transaction's guard, does not hold */
	STATUS_GONE = 410,	    /* the changes since the watch's revision are no longer kept */
	STATUS_MISDIRECTED = 421,   /* another controller leads */
	STATUS_UNPROCESSABLE = 422, /* the request is well-formed, but the job can never run */
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_UNAVAILABLE = 503
};

#endif
