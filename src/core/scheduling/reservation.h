/*
 * Reservations: capacity on machines that is kept for one job until the job fits. Other jobs may
 * use only what is not reserved (backfill). This keeps them from using capacity for which
 * preemption stopped tasks, and it keeps smaller gangs from overtaking a large gang for ever.
 *
 * A reservation is made at once where preemption stops tasks or a replica is to be moved. A growing
 * reservation instead grows in each cycle by the capacity that falls free. Few gangs have a growing
 * reservation at a time, because reserved capacity idles.
 */
#ifndef PLOVERLOFT_RESERVATION_H
#define PLOVERLOFT_RESERVATION_H

#include "core/scheduling/cycle.h"

/* --- the reservation on one machine --- */

/* Whether capacity on the machine is reserved for a job other than this one. */
bool machine_is_reserved_for_other(const struct machine *machine, const struct job *job);
/* Sets the machine's reservation to so many tasks of the job; 0 tasks: removes the reservation. */
void reservation_set(struct machine *machine, struct job *job, uint32_t tasks);
/* Reserves capacity for one more task, on a machine that is not reserved for another job. */
void reservation_add_task(struct machine *machine, struct job *job);
/* Reduces the job's reservation on the machine, if there is one, by one task, which was placed on
 * the machine. */
void reservation_remove_task(struct machine *machine, const struct job *job);

/* --- all reservations of a job --- */

/* Removes the job's reservations, if it has any, on all machines. */
void reservation_release(struct core *core, struct job *job);
/* Whether the gang may get a growing reservation: it has waited long enough, and few other gangs
 * have one. */
bool reservation_may_begin(struct core *core, const struct job *job);
/* Begins a growing reservation for the gang, if some zone has slots for it, free or in use. */
void reservation_begin(struct scheduling_cycle *cycle, struct job *job);
/* Reserves the capacity that is free now, up to the gang's demand. It is called in each cycle, so
 * that capacity that is not free or not needed any more does not stay reserved. */
void reservation_renew(struct scheduling_cycle *cycle, struct job *job);

#endif
