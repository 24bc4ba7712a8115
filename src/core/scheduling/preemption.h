/* Room for jobs that find none. */
#ifndef PLOVERLOFT_PREEMPTION_H
#define PLOVERLOFT_PREEMPTION_H

#include "core/scheduling/cycle.h"

bool preemption_make_room(struct scheduling_cycle *cycle, struct job *job);
void reservation_release(struct core *core, struct job *job);

#endif
