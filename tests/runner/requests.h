/* Lines that make clients send requests, and lines that break a rule to test the checker. */
#ifndef PLOVERLOFT_RUNNER_REQUESTS_H
#define PLOVERLOFT_RUNNER_REQUESTS_H

#include "scenario_line.h"

/* The keywords of these lines; an entry with a NULL name ends the table. */
extern const struct scenario_keyword request_keywords[];

#endif
