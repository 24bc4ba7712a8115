/*
 * Rules about the jobs that began in a scenario, checked at its end. A job counts as served once it
 * has begun, see update_began_at. Jobs that were not accepted, whose cancellation was requested or
 * whose tasks always fail need not begin.
 */
#include <string.h>

#include "standins/rules.h"
#include "standins/standin.h"

/* Time from the acceptance within which each of the largest jobs of a class must begin. */
#define LARGEST_WAIT_MAX_S 240.0

/* True if the job should begin, see the head of this file. */
static bool should_begin(const struct standin_job *job)
{
	return job->accepted && !job->cancel_requested && !job->always_fails;
}

/* --- groups of jobs of which half must begin --- */

static bool same_class(const struct standin_job *left, const struct standin_job *right)
{
	return !strcmp(left->spec.class_name, right->spec.class_name);
}

static bool same_team(const struct standin_job *left, const struct standin_job *right)
{
	return !strcmp(left->spec.team, right->spec.team);
}

static bool same_class_and_size(const struct standin_job *left, const struct standin_job *right)
{
	return same_class(left, right) && left->spec.task_count == right->spec.task_count;
}

typedef bool same_group(const struct standin_job *left, const struct standin_job *right);

/*
 * Rule unserved: at least half of the jobs that should begin have begun, among those in the same
 * group as `member`. `group` names in the message what these jobs share.
 */
static void check_group(struct standin *standin, const struct standin_job *member,
			const char *group, same_group *is_same)
{
	const struct standin_job *job;
	int expected = 0, served = 0;

	for (job = standin->jobs; job; job = job->hh.next) {
		if (!should_begin(job) || !is_same(member, job))
			continue;
		expected++;
		served += job->began_at >= 0;
	}
	if (2 * served < expected)
		standin_record_broken_rule(
		    standin, RULE_UNSERVED,
		    "%d of the %d jobs of the same %s as job %s began, expected at least half",
		    served, expected, group, member->spec.id);
}

/* True if no job of its class that should begin has more tasks. */
static bool is_largest(const struct standin *standin, const struct standin_job *job)
{
	const struct standin_job *other;

	for (other = standin->jobs; other; other = other->hh.next)
		if (should_begin(other) && same_class(other, job) &&
		    other->spec.task_count > job->spec.task_count)
			return false;
	return true;
}

/* --- the rules --- */

static void check_class_served(struct standin *standin, const struct standin_job *job)
{
	check_group(standin, job, "class", same_class);
}

static void check_team_served(struct standin *standin, const struct standin_job *job)
{
	check_group(standin, job, "team", same_team);
}

static void check_largest_served(struct standin *standin, const struct standin_job *job)
{
	if (is_largest(standin, job))
		check_group(standin, job, "class and task count (the class's largest)",
			    same_class_and_size);
}

/*
 * Rule late_large: each of the largest jobs of a class begins in time. One that has not begun
 * counts as waiting until now.
 */
static void check_largest_in_time(struct standin *standin, const struct standin_job *job)
{
	double began_at = job->began_at >= 0 ? job->began_at : standin->now;
	double waited_s = began_at - job->accepted_at;

	if (waited_s > LARGEST_WAIT_MAX_S && is_largest(standin, job))
		standin_record_broken_rule(
		    standin, RULE_LATE_LARGE,
		    "job %s (tasks: %u, the most in class %s) %s %.0f s after its "
		    "acceptance, expected at most %.0f s",
		    job->spec.id, job->spec.task_count, job->spec.class_name,
		    job->began_at >= 0 ? "began" : "had not begun", waited_s, LARGEST_WAIT_MAX_S);
}

typedef void served_check(struct standin *standin, const struct standin_job *job);

static served_check *const served_checks[] = {
    check_class_served,
    check_team_served,
    check_largest_served,
    check_largest_in_time,
};

void standin_check_served(struct standin *standin)
{
	const struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next) {
		if (!should_begin(job))
			continue;
		for (size_t i = 0; i < sizeof(served_checks) / sizeof(*served_checks); i++)
			served_checks[i](standin, job);
	}
}
