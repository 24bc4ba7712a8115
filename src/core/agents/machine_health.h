/* Which machines are lost, overdue or cut off. */
#ifndef PLOVERLOFT_MACHINE_HEALTH_H
#define PLOVERLOFT_MACHINE_HEALTH_H

#include "constants.h"
#include "core/model/machine.h"

/* How long ago machines were heard of, at the last look at all of them. */
struct contact_ages {
	int expected;		  /* machines that should be heard of */
	int by_age[CONTACT_AGES]; /* of them, by the age of their last message */
};

/* It is given up, and is to be deleted at once. */
void machine_give_up(struct core *core, struct machine *machine);
/* Asks a machine with no message in this term for its status, when it is due. */
void probe_unseen_machine(struct core *core, struct machine *machine);
/* Machines heard of within so many seconds before the last look; an age is rounded up. */
int contact_ages_within(const struct contact_ages *words, double age_s);
/* Judges all machines, when it is due. */
void machines_tick(struct core *core);

#endif
