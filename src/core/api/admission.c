/*
 * Checks the descriptions of submitted jobs, and defines the answers to refused submissions.
 */
#include "core/api/admission.h"

#include <string.h>

#include "core/records/job_record.h"
#include "core/state.h"

/*
 * The answers to refused submissions. A submission that is refused with Retry-After may succeed
 * later; the others would be refused again until the settings or the catalog change.
 * - A malformed description is answered with the decoder's reason.
 * - "beyond the team's limit": the job exceeds its team's quota even while nothing else runs.
 * - "machine types not known yet": no catalog was read, so it can't be checked whether the job fits
 *   a machine type.
 * - "fits no allowed machine": no machine type that the job allows, in a zone that it allows, is
 *   large enough for one task.
 * - "scattered, and no two zones allowed": the tasks of a spread job have to run in at least two
 *   zones, but fewer than two allowed zones offer a machine type that fits.
 * - "description too long to be kept": the job's record would exceed the size that the state
 *   service allows for a value.
 * - "busy": the queue of submissions is full.
 */
static const struct error_reply admission_errors[] = {
    [ADMISSION_MALFORMED] = {STATUS_BAD_REQUEST, 0, NULL},
    [ADMISSION_UNKNOWN_TEAM] = {STATUS_UNPROCESSABLE, 0, "unknown team"},
    [ADMISSION_OVER_QUOTA] = {STATUS_UNPROCESSABLE, 0, "beyond the team's limit"},
    [ADMISSION_NOT_READY] = {STATUS_UNAVAILABLE, RETRY_AFTER_S, "machine types not known yet"},
    [ADMISSION_UNSATISFIABLE] = {STATUS_UNPROCESSABLE, 0, "fits no allowed machine"},
    [ADMISSION_TOO_FEW_ZONES] = {STATUS_UNPROCESSABLE, 0, "scattered, and no two zones allowed"},
    [ADMISSION_RECORD_TOO_LARGE] = {STATUS_UNPROCESSABLE, 0, "description too long to be kept"},
    [ADMISSION_OVERLOADED] = {STATUS_TOO_MANY_REQUESTS, RETRY_AFTER_BUSY_S, "busy"},
};

struct error_reply admission_error(const struct admission *admission)
{
	struct error_reply reply = admission_errors[admission->outcome];

	if (admission->outcome == ADMISSION_MALFORMED)
		reply.text = admission->malformed_field;
	return reply;
}

/* True if the type is offered in a zone that the job allows. */
static bool offered_in_allowed_zone(const struct machine_type *type, const struct job_spec *spec)
{
	for (int i = 0; i < type->zones.count; i++)
		if (!*spec->zone || !strcmp(type->zones.names[i], spec->zone))
			return true;
	return false;
}

/*
 * True if the job allows the type and a zone where it is offered, and a machine of the type is
 * large enough for one task. machine_type_allowed is given the job's own zone, so it checks only
 * the list of allowed types; offered_in_allowed_zone checks the zones.
 */
static bool type_fits(const struct machine_type *type, const struct job_spec *spec)
{
	return offered_in_allowed_zone(type, spec) &&
	       machine_type_allowed(type, spec->zone, false, spec) && spec->cpus <= type->cpus &&
	       spec->gpus <= type->gpus && spec->mem_gb <= type->mem_gb;
}

static bool fits_some_type(const struct core *core, const struct job_spec *spec)
{
	for (size_t i = 0; i < catalog_type_count(core); i++)
		if (type_fits(catalog_type(core, i), spec))
			return true;
	return false;
}

/* True if machine types that fit are offered in at least two zones. Called only for a job that does
 * not name a zone. */
static bool fits_two_zones(const struct core *core, const struct job_spec *spec)
{
	const char *first = NULL;

	for (size_t i = 0; i < catalog_type_count(core); i++) {
		const struct machine_type *type = catalog_type(core, i);

		if (!type_fits(type, spec))
			continue;
		for (int zone = 0; zone < type->zones.count; zone++) {
			if (first && strcmp(first, type->zones.names[zone]))
				return true;
			first = type->zones.names[zone];
		}
	}
	return false;
}

/*
 * At most half of the tasks of a spread job may run in one zone, so it needs at least two zones.
 * This concerns only gangs and services with more than one task.
 */
static bool zones_suffice(const struct core *core, const struct job_spec *spec)
{
	if (!spec->spread || spec->kind == JOB_ARRAY || spec->task_count < 2)
		return true;
	if (spec->one_zone || *spec->zone)
		return false;
	return fits_two_zones(core, spec);
}

static enum admission_outcome decide_outcome(struct core *core, const struct job_spec *spec,
					     double submitted_at)
{
	if (!team_find(core, spec->team))
		return ADMISSION_UNKNOWN_TEAM;
	if (!team_quota_covers_job(core->conf, spec))
		return ADMISSION_OVER_QUOTA;
	if (!catalog_is_known(core))
		return ADMISSION_NOT_READY;
	if (!fits_some_type(core, spec))
		return ADMISSION_UNSATISFIABLE;
	if (!zones_suffice(core, spec))
		return ADMISSION_TOO_FEW_ZONES;
	if (job_record_max_bytes(spec, submitted_at) > limits_job_record_bytes(core))
		return ADMISSION_RECORD_TOO_LARGE;
	return ADMISSION_ACCEPTED;
}

struct admission admission_check(struct core *core, const struct job_spec *spec,
				 double submitted_at)
{
	struct admission admission = {decide_outcome(core, spec, submitted_at), NULL};

	return admission;
}
