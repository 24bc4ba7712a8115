/*
 * Health checks of all machines, from their agents' messages and the cloud's inventories: which
 * machines have failed or are overdue, and whether this controller is partitioned from the agents.
 */
#ifndef PLOVERLOFT_MACHINE_HEALTH_H
#define PLOVERLOFT_MACHINE_HEALTH_H

#include "constants.h"
#include "core/model/machine.h"

/* Histogram of the times since the machines' last messages, as of the last scan. */
struct contact_histogram {
	/* Number of machines that have sent a message in this term, or have bindings and so should
	 * have sent a message. */
	int expected;
	/* Numbers of machines by the age of their last message. Each bucket spans CONTACT_BUCKET_S;
	 * messages too old for the last bucket are not counted. */
	int buckets[CONTACT_BUCKETS];
};

/* Decides that the machine is to be deleted: no task is placed or started on it any more. */
void machine_begin_deletion(struct core *core, struct machine *machine);
/* Gives up a machine that has failed: marks the machine as being deleted and has it deleted at
 * once. */
void machine_give_up(struct core *core, struct machine *machine);
/*
 * Probes the machine if it has sent no message in this term and a probe is due. In the first
 * LEADER_DISCOVERY_REPORTS report intervals of a term no probe of this kind is due.
 */
void probe_unseen_machine(struct core *core, struct machine *machine);
/*
 * Returns the number of machines whose last message was at most `age_s` old at the last scan. Ages
 * are rounded up to the end of their bucket of the histogram.
 */
int contact_histogram_count_within(const struct contact_histogram *histogram, double age_s);
/*
 * Checks the health of all machines every MACHINE_SCAN_INTERVAL_S, and frees the machines whose
 * deletion is complete. Resigns if this controller is partitioned from the agents.
 */
void machines_tick(struct core *core);

#endif
