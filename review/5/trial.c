/*
 * There is more work than room, urgent and not: two gangs of different priorities wait, each of
 * which fits the fleet. Each gets a growing reservation of a part of the machines, and both wait
 * for ever for the other's part, while all machines are empty.
 *
 * Usage: trial-5 PROGRAM RECORD TROUBLE
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "core/records/job_record.h"
#include "../rig/rig.h"

/* The site falaria-prod-hunt. */
static struct conf_team team = {.name = "aula-ops"};
static const char objectives[] = "[[facts.objectives]]\nkind = \"useful\"\nshare = 0.78\n"
				 "[[facts.objectives]]\nkind = \"price\"\nmost = 4.6\n";

enum { NORMAL_GANG = 1, URGENT_GANG = 2, FILLER = 3, SERVICE = 5 };

#define MACHINES 4
#define FILLERS 2
#define FILLER_RUN_S 10
#define NORMAL_AGE_S 60 /* of the record at the start of the run: beyond RESERVE_AFTER_S */
#define URGENT_AGE_S 39 /* reaches RESERVE_AFTER_S some seconds into the run */
#define SERVICE_AT_S 13
#define WATCH_UNTIL_S 114

static struct rig rig = {
    .conf =
	{
	    .teams = &team,
	    .team_count = 1,
	    .report_s = 5,
	    .lease_s = 26.5,
	    .gang_wait_s = 40,
	    .gang_peer_s = 5,
	    .cancel_s = 56.5,
	    .limits = {.rps = 400, .write_rps = 90, .value_kb = 8, .txn_ops = 24},
	    .inventory_lag_s = 5,
	},
    .site =
	{
	    .name = "falaria-prod-hunt",
	    .objectives = objectives,
	    .cloud_rps = 8,
	    .cores = 0.168,
	    .mem_mb = 98,
	    .max_connections = 2131,
	},
};

static struct standin_job *add_job(int number, enum job_kind kind, enum job_priority priority,
				   uint32_t tasks, double cpus, double run_s)
{
	struct standin_job *job = rig_add_job(&rig, number, kind, tasks, cpus, 40, run_s);

	job->spec.priority = priority;
	return job;
}

/*
 * The gang was accepted so many seconds before the run, and all controllers have been restarted
 * since: the state service has its record, in the program's own encoding.
 */
static void store_gang(struct standin_job *gang, double age_s)
{
	struct standin_state_service *state = &rig.standin.state_service;
	struct standin_key *key = calloc(1, sizeof(*key));
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	job_record_key(key->key, RECORD_OPEN, gang->spec.id);
	key->value = job_record_open_value(&gang->spec, (double)now.tv_sec - age_s);
	key->version = state->revision;
	HASH_ADD_STR(state->keys, key, key);
	gang->submitted = gang->accepted = true;
	gang->accepted_at = rig.standin.now;
	rig_note(&rig, "the state service has %s, accepted %.0f s ago", key->key, age_s);
}

static void note_machines(void)
{
	for (int i = 0; i < rig.standin.machine_count; i++) {
		const struct standin_machine *machine = &rig.standin.machines[i];

		rig_note(&rig, "%s up=%d free: %.0f CPUs, %.0f GB", machine->id,
			 machine->power == POWER_UP, machine->free_cpus, machine->free_mem_gb);
	}
}

/* Submits the fillers, and later the service. Returns false if that is not possible. */
static bool submit_others(void)
{
	for (int i = 0; i < FILLERS; i++) {
		add_job(FILLER + i, JOB_GANG, PRIO_HIGH, 1, 15, FILLER_RUN_S);
		if (!rig_submit_until_accepted(&rig, FILLER + i, -1))
			return false;
	}
	rig_run(&rig, SERVICE_AT_S - rig_time(&rig));
	return rig_submit_until_accepted(&rig, SERVICE, -1);
}

static void poll_all(void)
{
	rig_poll(&rig, NORMAL_GANG, 0);
	rig_poll(&rig, URGENT_GANG, 1);
	rig_poll(&rig, SERVICE, 2);
}

int main(int argc, char **argv)
{
	struct standin_job *normal, *urgent, *service;
	double faults_end_at;
	bool trouble, broken = false;

	if (argc != 4)
		return 2;
	trouble = strcmp(argv[3], "0") != 0;
	rig_init(&rig, argv[1], argv[2]);
	rig_add_type(&rig, "imbuia", 16, 64, 1.06, 30, 0);
	for (int i = 0; i < MACHINES; i++)
		rig_add_machine(&rig, "imbuia");
	normal = add_job(NORMAL_GANG, JOB_GANG, PRIO_NORMAL, MACHINES, 15, 20);
	urgent = add_job(URGENT_GANG, JOB_GANG, PRIO_HIGH, MACHINES, 15, 20);
	service = add_job(SERVICE, JOB_SERVICE, PRIO_PRODUCTION, 1, 2, 0);
	store_gang(normal, NORMAL_AGE_S);
	if (trouble)
		store_gang(urgent, URGENT_AGE_S);
	for (int i = 0; i < RIG_CONTROLLERS; i++)
		rig_start(&rig, i);
	if (rig_wait_leader(&rig, -1, 15) < 0 || !submit_others())
		return 2;
	/* From here on there is no trouble: the fillers have ended, and nothing is submitted. */
	faults_end_at = rig.standin.now;
	for (int i = 0; rig_time(&rig) < WATCH_UNTIL_S && !broken; i++) {
		rig_run(&rig, 0.5);
		standin_check_idle_room(&rig.standin, faults_end_at);
		broken = rig.standin.rules_broken[RULE_IDLE_ROOM];
		if (i % 20 == 0)
			poll_all();
		if (normal->starts && service->starts && (urgent->starts || !trouble))
			break;
	}
	note_machines();
	rig_note(&rig, "started tasks: normal gang %u, urgent gang %u, service %u", normal->starts,
		 urgent->starts, service->starts);
	rig_note(&rig, "rule %s: %s", broken ? "broken" : "held", rig.standin.broken_rule_message);
	rig_free(&rig);
	return broken;
}
