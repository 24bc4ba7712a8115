#include "core/model/task_demands.h"

#include <string.h>

#include "core/state.h"

static bool is_demand_of(const struct task_demand *demand, const struct job_spec *spec)
{
	return demand->cpus == spec->cpus && demand->gpus == spec->gpus &&
	       demand->mem_gb == spec->mem_gb;
}

/* Returns the index of the job's demand. If it is not in the list, returns the index of the place
 * that it may take. */
static size_t place_of(const struct demand_list *list, const struct job_spec *spec)
{
	for (size_t i = 0; i < list->count; i++)
		if (is_demand_of(&list->demands[i], spec))
			return i;
	return list->count < TASK_DEMANDS_MAX ? list->count : TASK_DEMANDS_MAX - 1;
}

/* Adds the demand of the job's tasks to the list, or moves it to the head of the list. */
static void demand_list_add(struct demand_list *list, const struct job_spec *spec)
{
	size_t place = place_of(list, spec);

	if (place == list->count)
		list->count++;
	memmove(&list->demands[1], &list->demands[0], place * sizeof(*list->demands));
	list->demands[0] = (struct task_demand){spec->cpus, spec->gpus, spec->mem_gb};
}

void recent_demand_add(struct core *core, const struct job_spec *spec)
{
	/* Of an orphaned job only the id is known. */
	if (spec->cpus <= 0 && spec->gpus <= 0 && spec->mem_gb <= 0)
		return;
	demand_list_add(&core->task_demands.recent, spec);
}

void waiting_demands_clear(struct core *core)
{
	core->task_demands.waiting.count = 0;
}

void waiting_demand_add(struct core *core, const struct job_spec *spec)
{
	demand_list_add(&core->task_demands.waiting, spec);
}

/* True if a task with one of the demands fits in this capacity. */
static bool any_demand_fits(const struct demand_list *list, double cpus, double gpus, double mem_gb)
{
	for (size_t i = 0; i < list->count; i++) {
		const struct task_demand *demand = &list->demands[i];

		if (cpus + ROOM_SLACK >= demand->cpus && gpus + ROOM_SLACK >= demand->gpus &&
		    mem_gb + ROOM_SLACK >= demand->mem_gb)
			return true;
	}
	return false;
}

bool recent_demand_fits(const struct core *core, const struct machine *machine)
{
	const struct demand_list *recent = &core->task_demands.recent;

	return !recent->count || any_demand_fits(recent, machine->free_cpus, machine->free_gpus,
						 machine->free_mem_gb);
}

bool waiting_demand_fits(const struct core *core, const struct machine *machine)
{
	return any_demand_fits(&core->task_demands.waiting, machine->free_cpus, machine->free_gpus,
			       machine->free_mem_gb);
}

bool waiting_demand_fits_empty(const struct core *core, const struct machine *machine)
{
	const struct machine_type *type = machine->type;

	return type &&
	       any_demand_fits(&core->task_demands.waiting, type->cpus, type->gpus, type->mem_gb);
}
