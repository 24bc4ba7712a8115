/*
 * A team is at its limit and has one more job waiting. The leader reserves the only free machine
 * for that job, which may not start, again and again. A job of another team, which uses nothing of
 * its guarantee, fits the machine and waits.
 *
 * Usage: trial-4 PROGRAM RECORD TROUBLE
 */
#include <stdlib.h>
#include <string.h>

#include "../rig/rig.h"

/* The site coralia-sul. */
static struct conf_team teams[] = {
    {.name = "regentes", .cpus = 120, .cpus_max = 192, .gpus = 8, .gpus_max = 25},
    {.name = "sopro-sul", .cpus = 240, .cpus_max = 728, .gpus = 16, .gpus_max = 40},
};
static const char objectives[] =
    "[[facts.objectives]]\nkind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.96\n";

enum { REGENTES_FIRST = 1, REGENTES_FIT = 27, SOPRO = 40 };

#define ORGAOS 3
#define BOOT_S 7  /* until the caixa-clara, which was rented before, is up */
#define SOPRO_S 9 /* when sopro-sul submits its job */
#define WATCH_UNTIL_S 112

static struct rig rig = {
    .conf =
	{
	    .teams = teams,
	    .team_count = 2,
	    .report_s = 3,
	    .lease_s = 22,
	    .gang_wait_s = 35,
	    .gang_peer_s = 8,
	    .cancel_s = 47,
	    .limits = {.rps = 150, .write_rps = 60, .value_kb = 8, .txn_ops = 16},
	    .inventory_lag_s = 6,
	},
    .site =
	{
	    .name = "coralia-sul",
	    .objectives = objectives,
	    .cloud_rps = 5,
	    .cores = 0.048,
	    .mem_mb = 104,
	    .max_connections = 1800,
	},
};

/* A job of the class ensaio-coral: a gang of one task. Its longest run takes 500 s. */
static struct standin_job *add_job(int number, const char *team, double run_s)
{
	struct standin_job *job = rig_add_job(&rig, number, JOB_GANG, 1, 7, 26, run_s);

	snprintf(job->spec.team, sizeof(job->spec.team), "%s", team);
	snprintf(job->spec.class_name, sizeof(job->spec.class_name), "ensaio-coral");
	job->spec.priority = PRIO_HIGH;
	job->spec.one_zone = true;
	return job;
}

static double use_of_regentes(void)
{
	double cpus = 0;

	for (int i = 0; i < rig.standin.machine_count; i++)
		for (struct standin_task *task = rig.standin.machines[i].tasks; task;
		     task = task->next)
			if (task->state != TASK_EXITED &&
			    !strcmp(task->job->spec.team, teams[0].name))
				cpus += task->job->spec.cpus;
	return cpus;
}

static void note_machines(void)
{
	for (int i = 0; i < rig.standin.machine_count; i++) {
		const struct standin_machine *machine = &rig.standin.machines[i];

		rig_note(&rig, "%s type=%s up=%d free: %.0f CPUs, %.0f GB", machine->id,
			 machine->type->name, machine->power == POWER_UP, machine->free_cpus,
			 machine->free_mem_gb);
	}
}

int main(int argc, char **argv)
{
	struct standin_job *sopro;
	struct standin_machine *small;
	bool broken;
	int jobs;

	if (argc != 4)
		return 2;
	jobs = REGENTES_FIT + (strcmp(argv[3], "0") ? 1 : 0);
	rig_init(&rig, argv[1], argv[2]);
	rig_add_type(&rig, "orgao", 64, 384, 29.18, 45, 0);
	rig_add_type(&rig, "caixa-clara", 8, 64, 0.45, 35, 0);
	for (int i = 0; i < ORGAOS; i++)
		rig_add_machine(&rig, "orgao");
	small = rig_add_machine(&rig, "caixa-clara");
	small->up_at = rig.standin.now + BOOT_S;
	for (int i = 0; i < jobs; i++)
		add_job(REGENTES_FIRST + i, teams[0].name, 500);
	sopro = add_job(SOPRO, teams[1].name, 60);
	for (int i = 0; i < RIG_CONTROLLERS; i++)
		rig_start(&rig, i);
	if (rig_wait_leader(&rig, -1, 15) < 0)
		return 2;
	for (int i = 0; i < jobs; i++)
		if (!rig_submit_until_accepted(&rig, REGENTES_FIRST + i, -1))
			return 2;
	rig_run(&rig, SOPRO_S - rig_time(&rig));
	rig_note(&rig, "regentes uses %.0f of 192 CPUs", use_of_regentes());
	if (use_of_regentes() != 7 * REGENTES_FIT || !rig_submit_until_accepted(&rig, SOPRO, -1))
		return 2;
	for (int i = 0; rig_time(&rig) < WATCH_UNTIL_S && !sopro->starts; i++) {
		rig_run(&rig, 0.5);
		standin_check_idle_room(&rig.standin, sopro->accepted_at);
		if (i % 10 == 0)
			rig_poll(&rig, SOPRO, i / 10 % RIG_CONTROLLERS);
		if (rig.standin.rules_broken[RULE_IDLE_ROOM])
			break;
	}
	broken = rig.standin.rules_broken[RULE_IDLE_ROOM];
	note_machines();
	rig_note(&rig, "regentes uses %.0f of 192 CPUs; starts of job-000040: %u",
		 use_of_regentes(), sopro->starts);
	rig_note(&rig, "rule %s: %s", broken ? "broken" : "held", rig.standin.broken_rule_message);
	rig_free(&rig);
	return broken;
}
