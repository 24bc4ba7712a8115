/* Runs a scenario: reads its lines, runs each at its time, and checks the rules at the end. */
#ifndef PLOVERLOFT_RUNNER_SCENARIO_H
#define PLOVERLOFT_RUNNER_SCENARIO_H

#include <stdio.h>

#include "world.h"

/* Runs all lines of an open file. Failures are printed and counted in the world. */
void scenario_run(struct world *world, FILE *file);

#endif
