/* Lines that disturb the deployment: crashes, cuts, outages, lost messages, dying machines. */
#ifndef PLOVERLOFT_RUNNER_FAULTS_H
#define PLOVERLOFT_RUNNER_FAULTS_H

#include "scenario_line.h"

/* The keywords of these lines; ends with a name of NULL. */
extern const struct scenario_keyword fault_keywords[];

/* Notes until when the fault of a line lasts. To be called before the line is run. */
void fault_note_end(struct world *world, const struct scenario_line *line);

#endif
