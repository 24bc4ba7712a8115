/* Plans the headroom: for each class of jobs, capacity that is kept free for future tasks. */
#include <stdlib.h>
#include <string.h>

#include "core/autoscale/scale_out.h"
#include "core/state.h"
#include "util/xalloc.h"

/* The tasks of the open jobs of one class. */
struct class_use {
	const struct job_spec *spec; /* one of the class's jobs, as a sample of future jobs */
	uint32_t bound_tasks;	     /* bound tasks of all jobs of the class */
};

/* All classes with open jobs. */
struct class_uses {
	struct class_use *list; /* owned */
	size_t count;
};

/* Returns the entry of the job's class, and adds one if there is none. The pointer is valid until
 * the next entry is added. */
static struct class_use *class_use_of(struct class_uses *uses, const struct job_spec *spec)
{
	for (size_t i = 0; i < uses->count; i++)
		if (!strcmp(uses->list[i].spec->class_name, spec->class_name))
			return &uses->list[i];
	uses->list = xreallocarray(uses->list, uses->count + 1, sizeof(*uses->list));
	uses->list[uses->count] = (struct class_use){.spec = spec};
	return &uses->list[uses->count++];
}

static void class_uses_init(const struct core *core, struct class_uses *uses)
{
	struct job *job, *next;

	*uses = (struct class_uses){0};
	JOBS_FOR_EACH (core, job, next)
		if (!job->orphan)
			class_use_of(uses, &job->spec)->bound_tasks += job->bound_count;
}

static void class_uses_clear(struct class_uses *uses)
{
	free(uses->list);
	*uses = (struct class_uses){0};
}

/*
 * Plans free capacity for the class: for `share` of its bound tasks and HEADROOM_MIN_TASKS more.
 * The free capacity of running machines counts too.
 */
static void plan_class_headroom(struct core *core, struct capacity_plan *plan,
				const struct class_use *use, double share)
{
	uint32_t wanted = (uint32_t)(share * use->bound_tasks) + HEADROOM_MIN_TASKS;
	struct machine_demand demand = {.spec = use->spec};

	for (uint32_t i = 0; i < wanted; i++) {
		if (capacity_plan_allocate_task(plan, use->spec, PLAN_ALL_MACHINES, NULL))
			continue;
		demand.tasks = wanted - i;
		if (!scale_out_plan_machine(core, plan, &demand))
			break;
	}
}

void scale_out_plan_headroom(struct core *core, struct capacity_plan *plan)
{
	bool is_set = core->conf->headroom >= 0;
	double share = is_set ? core->conf->headroom : HEADROOM_GUARANTEE_SHARE;
	struct class_uses uses;

	if (autoscale_minimises_cost(core) && !is_set)
		return;
	class_uses_init(core, &uses);
	for (size_t i = 0; i < uses.count; i++)
		plan_class_headroom(core, plan, &uses.list[i], share);
	class_uses_clear(&uses);
}
