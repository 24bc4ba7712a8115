/* Lines that cause faults: crashes, partitions, outages, lost messages, failing machines. */
#ifndef PLOVERLOFT_RUNNER_FAULTS_H
#define PLOVERLOFT_RUNNER_FAULTS_H

#include "scenario_line.h"

/* The keywords of these lines; an entry with a NULL name ends the table. */
extern const struct scenario_keyword fault_keywords[];

/* Extends the time in which faults last by the fault of this line. Must be called before the line
 * is run. */
void faults_extend_duration(struct world *world, const struct scenario_line *line);

#endif
