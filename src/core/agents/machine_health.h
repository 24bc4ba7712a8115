/* Which machines have failed or are overdue, and whether this controller is partitioned off. */
#ifndef PLOVERLOFT_MACHINE_HEALTH_H
#define PLOVERLOFT_MACHINE_HEALTH_H

#include "constants.h"
#include "core/model/machine.h"

/* The ages of all machines' last messages, at the last scan. */
struct contact_ages {
	int expected;		     /* machines that should have sent a message this term */
	int by_age[CONTACT_BUCKETS]; /* of them, by age in steps of CONTACT_BUCKET_S seconds */
};

/* Gives the machine up: it is to be deleted at once. */
void machine_give_up(struct core *core, struct machine *machine);
/* Probes a machine without a message in this term, when it is due. */
void probe_unseen_machine(struct core *core, struct machine *machine);
/* Machines whose last message was at most `age_s` old at the last scan; ages are rounded up. */
int contact_ages_within(const struct contact_ages *ages, double age_s);
/* Scans all machines, when it is due. */
void machines_tick(struct core *core);

#endif
