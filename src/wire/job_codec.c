/* Decodes and encodes job descriptions, and encodes answers about a job's state. */
#include "wire/job_codec.h"

#include <string.h>

#include "constants.h"
#include "wire/json_fields.h"
#include "wire/json_text.h"
#include "wire/names.h"
#include "wire/short_name.h"

static const char *const kind_names[] = {
    [JOB_ARRAY] = W_KIND_ARRAY, [JOB_GANG] = W_KIND_GANG, [JOB_SERVICE] = W_KIND_SERVICE};
static const char *const priority_names[] = {[PRIO_PRODUCTION] = W_PRIO_PRODUCTION,
					     [PRIO_HIGH] = W_PRIO_HIGH,
					     [PRIO_NORMAL] = W_PRIO_NORMAL,
					     [PRIO_LOW] = W_PRIO_LOW};
static const char *const state_names[] = {[JOB_STATE_QUEUED] = W_JOB_QUEUED,
					  [JOB_STATE_RUNNING] = W_JOB_RUNNING,
					  [JOB_STATE_DONE] = W_JOB_DONE,
					  [JOB_STATE_CANCELLED] = W_JOB_CANCELLED};

static const struct name_table kinds = NAME_TABLE(kind_names);
static const struct name_table priorities = NAME_TABLE(priority_names);

bool wire_job_id_is_valid(const char *id)
{
	size_t prefix = strlen(W_JOB_PREFIX);
	size_t length = strlen(id);

	if (length <= prefix || length >= ID_MAX || strncmp(id, W_JOB_PREFIX, prefix))
		return false;
	return strspn(id + prefix, "0123456789") == length - prefix;
}

/* Decodes the id and the required names of a job description. */
static int decode_names(const json_t *object, struct job_spec *spec, const char **why)
{
	const struct {
		const char *key;
		char *out;
	} names[] = {{W_CLASS, spec->class_name}, {W_TEAM, spec->team}, {W_IMAGE, spec->image}};

	*why = W_ID;
	if (field_text(object, W_ID, spec->id, sizeof(spec->id)) || !wire_job_id_is_valid(spec->id))
		return -1;
	for (size_t i = 0; i < ARRAY_LENGTH(names); i++) {
		*why = names[i].key;
		if (field_name(object, names[i].key, names[i].out))
			return -1;
	}
	return 0;
}

static int decode_kind_and_priority(const json_t *object, struct job_spec *spec, const char **why)
{
	int kind = field_enum(object, W_KIND, &kinds);
	int priority = field_enum(object, W_PRIORITY, &priorities);

	*why = W_KIND;
	if (kind < 0)
		return -1;
	spec->kind = (enum job_kind)kind;
	*why = W_PRIORITY;
	if (priority < 0)
		return -1;
	spec->priority = (enum job_priority)priority;
	return 0;
}

static int decode_task_count(const json_t *object, struct job_spec *spec, const char **why)
{
	uint64_t count;

	*why = W_TASKS;
	if (field_count(object, W_TASKS, &count) || count == 0 || count > JOB_TASKS_MAX)
		return -1;
	spec->task_count = (uint32_t)count;
	return 0;
}

static int decode_amounts(const json_t *object, struct job_spec *spec, const char **why)
{
	const struct {
		const char *key;
		double *out;
	} amounts[] = {{W_CPUS, &spec->cpus},		{W_GPUS, &spec->gpus},
		       {W_MEMORY, &spec->mem_gb},	{W_IMAGE_GB, &spec->image_gb},
		       {W_ESTIMATE, &spec->estimate_s}, {W_CHECKPOINT, &spec->checkpoint_s},
		       {W_SAVE, &spec->save_s}};

	for (size_t i = 0; i < ARRAY_LENGTH(amounts); i++) {
		*why = amounts[i].key;
		if (field_amount(object, amounts[i].key, amounts[i].out))
			return -1;
	}
	return 0;
}

static int decode_flags(const json_t *object, struct job_spec *spec, const char **why)
{
	const struct {
		const char *key;
		bool *out;
	} flags[] = {
	    {W_ONE_ZONE, &spec->one_zone}, {W_SPREAD, &spec->spread}, {W_SPOT, &spec->spot}};

	for (size_t i = 0; i < ARRAY_LENGTH(flags); i++) {
		*why = flags[i].key;
		if (field_bool(object, flags[i].key, flags[i].out))
			return -1;
	}
	return 0;
}

/* Decodes the machine types that a job allows. The list of types may be absent, but not empty. */
static int decode_types(const json_t *object, struct job_spec *spec)
{
	const json_t *types = json_object_get(object, W_MACHINE_TYPES);
	const json_t *type;
	size_t i;

	if (!json_is_array(types) || !json_array_size(types))
		return -1;
	json_array_foreach (types, i, type) {
		char name[NAME_MAX_LEN] = "";

		if (json_is_string(type))
			short_name_copy(name, json_string_value(type));
		if (name_list_add(&spec->types, name))
			return -1;
	}
	return 0;
}

/* Decodes the optional fields of a job description. */
static int decode_optional(const json_t *object, struct job_spec *spec, const char **why)
{
	*why = W_ZONE;
	if (!field_is_absent(object, W_ZONE) && field_name(object, W_ZONE, spec->zone))
		return -1;
	*why = W_DEADLINE;
	spec->deadline_s = -1;
	if (!field_is_absent(object, W_DEADLINE) &&
	    field_amount(object, W_DEADLINE, &spec->deadline_s))
		return -1;
	*why = W_MACHINE_TYPES;
	return field_is_absent(object, W_MACHINE_TYPES) ? 0 : decode_types(object, spec);
}

int wire_job_decode(json_t *object, struct job_spec *spec, const char **why)
{
	memset(spec, 0, sizeof(*spec));
	*why = "not an object";
	if (!json_is_object(object))
		return -1;
	if (decode_names(object, spec, why) || decode_kind_and_priority(object, spec, why) ||
	    decode_task_count(object, spec, why) || decode_amounts(object, spec, why) ||
	    decode_flags(object, spec, why))
		return -1;
	return decode_optional(object, spec, why);
}

void wire_job_free(struct job_spec *spec)
{
	name_list_free(&spec->types);
}

json_t *wire_job_encode(const struct job_spec *spec)
{
	json_t *object = json_object();

	json_object_set_new(object, W_ID, json_string(spec->id));
	json_object_set_new(object, W_CLASS, json_string(spec->class_name));
	json_object_set_new(object, W_TEAM, json_string(spec->team));
	json_object_set_new(object, W_KIND, json_string(kind_names[spec->kind]));
	json_object_set_new(object, W_PRIORITY, json_string(priority_names[spec->priority]));
	json_object_set_new(object, W_TASKS, json_integer(spec->task_count));
	json_object_set_new(object, W_CPUS, json_real(spec->cpus));
	json_object_set_new(object, W_GPUS, json_real(spec->gpus));
	json_object_set_new(object, W_MEMORY, json_real(spec->mem_gb));
	json_object_set_new(object, W_IMAGE, json_string(spec->image));
	json_object_set_new(object, W_IMAGE_GB, json_real(spec->image_gb));
	if (spec->types.count)
		json_object_set_new(object, W_MACHINE_TYPES, names_encode(&spec->types));
	if (*spec->zone)
		json_object_set_new(object, W_ZONE, json_string(spec->zone));
	json_object_set_new(object, W_ONE_ZONE, json_boolean(spec->one_zone));
	json_object_set_new(object, W_SPREAD, json_boolean(spec->spread));
	json_object_set_new(object, W_SPOT, json_boolean(spec->spot));
	json_object_set_new(object, W_ESTIMATE, json_real(spec->estimate_s));
	json_object_set_new(object, W_CHECKPOINT, json_real(spec->checkpoint_s));
	json_object_set_new(object, W_SAVE, json_real(spec->save_s));
	if (spec->deadline_s >= 0)
		json_object_set_new(object, W_DEADLINE, json_real(spec->deadline_s));
	return object;
}

const char *wire_job_state_name(enum job_state state)
{
	return state_names[state];
}

char *wire_job_answer(const char *id, enum job_state state, uint32_t done, uint32_t running)
{
	json_t *object = json_object();

	json_object_set_new(object, W_ID, json_string(id));
	json_object_set_new(object, W_STATE, json_string(wire_job_state_name(state)));
	json_object_set_new(object, W_DONE, json_integer(done));
	json_object_set_new(object, W_RUNNING, json_integer(running));
	return wire_serialize(object);
}
