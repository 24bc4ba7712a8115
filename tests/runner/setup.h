/* Lines that describe the deployment: controllers, settings, teams, machines. */
#ifndef PLOVERLOFT_RUNNER_SETUP_H
#define PLOVERLOFT_RUNNER_SETUP_H

#include "scenario_line.h"

/* The keywords of these lines; an entry with a NULL name ends the table. */
extern const struct scenario_keyword setup_keywords[];

#endif
