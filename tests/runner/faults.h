/* Lines that cause faults (crashes, partitions, outages, lost messages, failing machines), and the
 * line that has the checker treat them as ended. */
#ifndef PLOVERLOFT_RUNNER_FAULTS_H
#define PLOVERLOFT_RUNNER_FAULTS_H

#include "scenario_line.h"

/* The keywords of these lines; an entry with a NULL name ends a table. */
extern const struct scenario_keyword fault_keywords[], network_fault_keywords[];

/* Returns the time at which a fault ends that begins now; the option for= is its duration. */
double fault_end_time(const struct world *world, const struct scenario_line *line);

/* Sets world->faults_end_s to the end of this line's fault if that is later. Must be called before
 * the line is run: a line `quiet` then sets the present time. */
/* Restarts the machine, which then gets the copies that wait for its restart. */
void fault_restart_machine(struct world *world, struct standin_machine *machine);
void faults_extend_duration(struct world *world, const struct scenario_line *line);

#endif
