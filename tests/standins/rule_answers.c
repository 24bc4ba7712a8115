/*
 * Rules about the answers to users: a job that was accepted can run, is not forgotten, is not shown
 * as done too early, and keeps a final state; no answer shows a job that nobody submitted.
 */
#include <math.h>
#include <string.h>

#include "core/runtime/http_status.h"
#include "standins/job_fit.h"
#include "standins/rules.h"
#include "standins/standin.h"
#include "wire/names.h"

/* Time that a user may be without an answer about an accepted job once all faults are over. */
#define UNANSWERED_MAX_S 75.0

/* --- submissions --- */

/* Rule wrong_job: no job is accepted that can never run. */
static void check_can_run(struct standin *standin, const struct standin_job *job)
{
	if (!job_can_ever_run(standin, job))
		standin_record_broken_rule(standin, RULE_WRONG_JOB,
					   "job %s of team %s was accepted though it can never run",
					   job->spec.id, job->spec.team);
}

/* Checks the rules wrong_job and forgotten: a job that was accepted is not refused when it is
 * submitted again. */
void standin_submission_answered(struct standin *standin, const char *id, int status)
{
	struct standin_job *job = standin_job_find(standin, id);
	bool accepted = status == STATUS_OK || status == STATUS_CREATED;
	bool refused = status == STATUS_BAD_REQUEST || status == STATUS_UNPROCESSABLE;

	if (accepted && !job->accepted) {
		job->accepted_at = standin->now;
		job->accepted = true;
		check_can_run(standin, job);
	} else if (refused && job->accepted) {
		standin_record_broken_rule(
		    standin, RULE_FORGOTTEN,
		    "job %s was accepted before, its submission got status %d, expected "
		    "200 or 201",
		    id, status);
	}
}

/* --- polls and cancellations --- */

/* The state of a job in the answer to a user. */
struct shown_state {
	const char *name;
	bool done;
	bool cancelled;
	double sent_at; /* when the user's request was sent */
};

/* Rule not_done: a job is shown as done only when all its tasks have completed. */
static void check_done(struct standin *standin, const struct standin_job *job,
		       const struct shown_state *state)
{
	if (state->done && job->done_count < job->spec.task_count)
		standin_record_broken_rule(
		    standin, RULE_NOT_DONE,
		    "job %s is shown as %s with %u completed tasks, expected %u", job->spec.id,
		    state->name, job->done_count, job->spec.task_count);
}

/*
 * Rule went_back: a job that was shown as done or cancelled is shown so from then on, and a job is
 * not shown as cancelled unless that was requested. The answer to a request that was sent before a
 * user learned of the final state is no fault: it may be older, as messages overtake each other on
 * the way.
 */
static void check_went_back(struct standin *standin, const struct standin_job *job,
			    const struct shown_state *state)
{
	bool no_longer_done =
	    job->known_done && !state->done && state->sent_at >= job->known_done_at;
	bool no_longer_cancelled =
	    job->known_cancelled && !state->cancelled && state->sent_at >= job->known_cancelled_at;
	bool unrequested = state->cancelled && !job->cancel_requested;

	if (no_longer_done || no_longer_cancelled || unrequested)
		standin_record_broken_rule(
		    standin, RULE_WENT_BACK,
		    "job %s is shown as %s; it was shown as done: %s, as cancelled: %s, its "
		    "cancellation was requested: %s",
		    job->spec.id, state->name, job->known_done ? "yes" : "no",
		    job->known_cancelled ? "yes" : "no", job->cancel_requested ? "yes" : "no");
}

typedef void state_check(struct standin *standin, const struct standin_job *job,
			 const struct shown_state *state);

static state_check *const state_checks[] = {check_done, check_went_back};

/* Records when an answer first shows the job as done or cancelled. */
static void record_final_state(const struct standin *standin, struct standin_job *job,
			       const struct shown_state *state)
{
	if (state->done && !job->known_done) {
		job->known_done = true;
		job->known_done_at = standin->now;
	}
	if (state->cancelled && !job->known_cancelled) {
		job->known_cancelled = true;
		job->known_cancelled_at = standin->now;
	}
}

/* Checks the state in an answer, and records it. */
static void handle_shown_state(struct standin *standin, struct standin_job *job, const json_t *body,
			       double sent_at)
{
	const char *name = json_string_value(json_object_get(body, W_STATE));
	struct shown_state state = {
	    .name = name,
	    .done = !strcmp(name, W_JOB_DONE),
	    .cancelled = !strcmp(name, W_JOB_CANCELLED),
	    .sent_at = sent_at,
	};

	job->answered_at = standin->now;
	job->known_running = (int)json_integer_value(json_object_get(body, W_RUNNING));
	for (size_t i = 0; i < sizeof(state_checks) / sizeof(*state_checks); i++)
		state_checks[i](standin, job, &state);
	record_final_state(standin, job, &state);
}

/*
 * Checks the rules forgotten and invented: the poll of an accepted job is not answered with
 * status 404, and no state is shown of a job that nobody submitted. Status 404 for a job that is
 * not accepted is no fault, and neither are other statuses, such as 429 and 503: they show no
 * state.
 */
void standin_poll_answered(struct standin *standin, const char *id, int status, const char *body,
			   double sent_at)
{
	struct standin_job *job = standin_job_find(standin, id);
	json_t *parsed;

	if (status == STATUS_NOT_FOUND && job && job->accepted)
		standin_record_broken_rule(
		    standin, RULE_FORGOTTEN,
		    "the poll of job %s, which was accepted, got status %d, expected 200", id,
		    status);
	if (status != STATUS_OK)
		return;
	if (!job || !job->submitted) {
		standin_record_broken_rule(
		    standin, RULE_INVENTED,
		    "the poll of job %s, which nobody submitted, got status %d, expected 404", id,
		    status);
		return;
	}
	parsed = wire_parse(body, strlen(body));
	handle_shown_state(standin, job, parsed, sent_at);
	json_decref(parsed);
}

void standin_cancellation_answered(struct standin *standin, const char *id, int status,
				   const char *body, double sent_at)
{
	if (status == STATUS_OK)
		standin_poll_answered(standin, id, status, body, sent_at);
}

/* --- jobs without answers --- */

/*
 * Rule forgotten: a user is not left without answers about an accepted job. The time counts from
 * the newest answer, the acceptance or the end of all faults, whichever is latest: during faults
 * users may wait.
 */
void standin_check_answers(struct standin *standin, double faults_end_at)
{
	const struct standin_job *job;

	for (job = standin->jobs; job; job = job->hh.next) {
		double since = fmax(faults_end_at, fmax(job->accepted_at, job->answered_at));
		double unanswered_s = standin->now - since;

		if (job->accepted && unanswered_s > UNANSWERED_MAX_S)
			standin_record_broken_rule(
			    standin, RULE_FORGOTTEN,
			    "job %s: no poll was answered for %.0f s, expected at most %.0f s",
			    job->spec.id, unanswered_s, UNANSWERED_MAX_S);
	}
}
