/* What a scenario expects: measures of what happened, compared with numbers. */
#ifndef PLOVERLOFT_RUNNER_EXPECTATIONS_H
#define PLOVERLOFT_RUNNER_EXPECTATIONS_H

#include "scenario_line.h"

/* The keywords of these lines; ends with a name of NULL. */
extern const struct scenario_keyword expectation_keywords[];

/*
 * Checks the rules about the whole scenario and fails it for each rule that was broken, at any
 * time, unless `permitted` names it.
 */
void expect_rules_kept(struct world *world, const char *permitted);

#endif
