#include "core/replicas.h"

#include <string.h>

#include "core/round.h"

static bool up_is_aim(const struct core *core, const char *class_name)
{
	for (size_t i = 0; i < core->conf->nobjectives; i++)
		if (core->conf->objectives[i].kind == OBJ_UP &&
		    !strcmp(core->conf->objectives[i].class_name, class_name))
			return true;
	return false;
}

static bool class_listed(const struct replica_classes *classes, const char *class_name)
{
	for (size_t i = 0; i < classes->count; i++)
		if (!strcmp(classes->list[i].spec->class_name, class_name))
			return true;
	return false;
}

void replica_classes_find(const struct core *core, struct replica_classes *out)
{
	const struct job *job, *next;

	out->count = 0;
	if (!conf_has(core->conf, OBJ_UP))
		return;
	HASH_ITER (hh, core->jobs, job, next) {
		if (job->spec.kind != JOB_SERVICE || job->orphan || job->cancelled ||
		    out->count == REPLICA_CLASSES_MAX || class_listed(out, job->spec.class_name) ||
		    !up_is_aim(core, job->spec.class_name))
			continue;
		out->list[out->count++] = (struct replica_class){&job->spec, 0};
	}
}

static uint32_t free_on(const struct machine *machine, const struct job_spec *spec)
{
	if (!machine->type || !machine_allowed(machine->type, machine->zone, machine->spot, spec))
		return 0;
	return room_slots(machine->cpus, machine->gpus, machine->mem_gb, spec);
}

void replica_classes_count(const struct core *core, struct replica_classes *classes)
{
	const struct machine *machine, *next;

	if (!classes->count)
		return;
	HASH_ITER (hh, core->fleet.machines, machine, next)
		for (size_t i = 0; i < classes->count && machine_usable(core, machine); i++)
			classes->list[i].free += free_on(machine, classes->list[i].spec);
}

bool replica_classes_spare(struct replica_classes *classes, const struct machine *machine)
{
	for (size_t i = 0; i < classes->count; i++) {
		uint32_t here = free_on(machine, classes->list[i].spec);

		if (here && classes->list[i].free < REPLICA_SPARE + here)
			return false;
	}
	for (size_t i = 0; i < classes->count; i++)
		classes->list[i].free -= free_on(machine, classes->list[i].spec);
	return true;
}
