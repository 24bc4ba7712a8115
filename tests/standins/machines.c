/* Stand-ins for the rented machines: rental, boot, restart, loss and deletion. */
#include "standins/machines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/agents.h"
#include "standins/standin.h"

/* The address that a machine gets from its number. A test may replace it. */
#define ADDRESS_FORMAT "10.1.%d.%d:9000"
#define ADDRESS_PATTERN "10.1.%d.%d:"
#define ADDRESSES_PER_NET 250

#define FIRST_INCARNATION 1
#define RESTART_REPORT_S 0.2 /* seconds from a restart to the agent's first report */
#define NO_NOTICE (-1.0)     /* notice_until of a machine without a notice */

struct standin_machine *standin_machine_find_by_addr(struct standin *standin, const char *addr)
{
	int net, host;

	if (sscanf(addr, ADDRESS_PATTERN, &net, &host) == 2) {
		int i = net * ADDRESSES_PER_NET + host - 1;

		if (i >= 0 && i < standin->machine_count &&
		    !strcmp(standin->machines[i].addr, addr))
			return &standin->machines[i];
	}
	for (int i = 0; i < standin->machine_count; i++)
		if (!strcmp(standin->machines[i].addr, addr))
			return &standin->machines[i];
	return NULL;
}

/* The machine type of this name. If the catalog lacks it, the test is aborted. */
static const struct machine_type *find_type(const struct standin_cloud *cloud, const char *name)
{
	for (size_t i = 0; i < cloud->type_count; i++)
		if (!strcmp(cloud->types[i].name, name))
			return &cloud->types[i];
	abort();
}

struct standin_machine *standin_machine_add(struct standin *standin, const char *type,
					    const char *zone, bool spot)
{
	int number = standin->machine_count;
	struct standin_machine *machine = &standin->machines[number];

	if (number == STANDIN_MACHINES_MAX)
		abort();
	memset(machine, 0, sizeof(*machine));
	snprintf(machine->id, sizeof(machine->id), "vm-%06d", number);
	snprintf(machine->addr, sizeof(machine->addr), ADDRESS_FORMAT, number / ADDRESSES_PER_NET,
		 number % ADDRESSES_PER_NET + 1);
	snprintf(machine->zone, sizeof(machine->zone), "%s", zone);
	machine->type = find_type(&standin->cloud, type);
	machine->spot = spot;
	machine->power = POWER_BOOTING;
	machine->rented_at = standin->now;
	machine->up_at = standin->now + machine->type->boot_s;
	machine->notice_until = NO_NOTICE;
	standin->machine_count++;
	return machine;
}

void machine_free_tasks(struct standin_machine *machine)
{
	while (machine->tasks) {
		struct standin_task *task = machine->tasks;

		machine->tasks = task->next;
		task_free(task);
	}
}

void standin_machine_power_off(struct standin *standin, struct standin_machine *machine,
			       bool deleted)
{
	machine->power = deleted ? POWER_DELETED : POWER_OFF;
	machine->off_at = standin->now;
	machine_free_tasks(machine);
}

void standin_machine_restart(struct standin *standin, struct standin_machine *machine)
{
	machine_free_tasks(machine);
	machine->incarnation = FIRST_INCARNATION;
	machine->sequence = 0;
	machine->token = 0;
	machine->report_unanswered = false;
	machine->lease_renewed_at = standin->now;
	machine->next_report_at = standin->now + RESTART_REPORT_S;
}

/* --- ticks --- */

/* The machine is up, and its agent sends its first report. */
static void finish_boot(struct standin *standin, struct standin_machine *machine)
{
	int number = (int)(machine - standin->machines);

	machine->power = POWER_UP;
	machine->incarnation = FIRST_INCARNATION;
	machine->lease_renewed_at = standin->now;
	machine->next_report_at = standin->now;
	machine->controller = number % standin->controller_count;
}

/*
 * Ends the agent's lease: the agent drops its tasks and begins a new incarnation. It does not wait
 * for the answer to its last report any more.
 */
static void expire_agent_lease(struct standin *standin, struct standin_machine *machine)
{
	machine_free_tasks(machine);
	machine->incarnation++;
	machine->lease_renewed_at = standin->now;
	machine->report_unanswered = false;
	machine->changed_since_report = true;
}

void machine_tick(struct standin *standin, struct standin_machine *machine, double elapsed_s)
{
	if (machine->power == POWER_BOOTING && standin->now >= machine->up_at)
		finish_boot(standin, machine);
	if (machine->power != POWER_UP || machine->hanging)
		return;
	if (machine->notice_until >= 0 && standin->now >= machine->notice_until) {
		standin_machine_power_off(standin, machine, true);
		return;
	}
	if (standin->now - machine->lease_renewed_at > standin->conf->lease_s)
		expire_agent_lease(standin, machine);
	for (struct standin_task *task = machine->tasks; task; task = task->next)
		task_tick(standin, task, elapsed_s);
	agent_report_if_due(standin, machine);
}
