/* Lines with which clients ask something of the controllers. */
#ifndef PLOVERLOFT_RUNNER_REQUESTS_H
#define PLOVERLOFT_RUNNER_REQUESTS_H

#include "scenario_line.h"

/* The keywords of these lines; ends with a name of NULL. */
extern const struct scenario_keyword request_keywords[];

#endif
