/* The `expect` lines of a scenario, which compare a measure with a number, and the final checks. */
#ifndef PLOVERLOFT_RUNNER_EXPECTATIONS_H
#define PLOVERLOFT_RUNNER_EXPECTATIONS_H

#include "scenario_line.h"

/* The keywords of these lines; an entry with a NULL name ends the table. */
extern const struct scenario_keyword expectation_keywords[];

/*
 * Checks the rules that apply to the scenario as a whole. Then fails the scenario for each rule
 * that was broken at any time, unless `permitted`, a list of names, contains it.
 */
void expect_rules_kept(struct world *world, const char *permitted);

#endif
