/*
 * Reservations: room on machines that is kept for one job until there is enough of it. Others may
 * use only what is not reserved (backfill), so that what was stopped for a job does not serve
 * others, and a large gang is not passed by small ones for ever.
 *
 * A reservation is made at once, where lower work was stopped, or it grows cycle by cycle with the
 * room that falls free. Few gangs have one that grows, so that little room idles.
 */
#ifndef PLOVERLOFT_RESERVATION_H
#define PLOVERLOFT_RESERVATION_H

#include "core/scheduling/cycle.h"

/* --- on one machine --- */

bool machine_is_reserved_for_other(const struct machine *machine, const struct job *job);
/* Reserves room for so many tasks there; 0: the machine is free for all. */
void reservation_set(struct machine *machine, struct job *job, uint32_t tasks);
/* Room for one task more, on a machine that is not reserved for another job. */
void reservation_add_task(struct machine *machine, struct job *job);
/* A task of the job was placed there: room for one less is needed. */
void reservation_use_task(struct machine *machine, const struct job *job);

/* --- of a job --- */

/* Ends the job's reservation, if it has one, on all machines. */
void reservation_release(struct core *core, struct job *job);
/* Whether the gang has waited long enough for a reservation that grows, and few others have one. */
bool reservation_may_begin(struct core *core, const struct job *job);
/* Begins a reservation that grows, if there is a zone for it. */
void reservation_begin(struct scheduling_cycle *cycle, struct job *job);
/* Reserves what is free now, anew in each cycle: what was lost or is not needed goes back. */
void reservation_renew(struct scheduling_cycle *cycle, struct job *job);

#endif
