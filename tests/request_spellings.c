/*
 * Test of the spellings of requests, with real processes over the loopback interface. Jobs are
 * submitted again and again, each time spelled and framed in another legal way and split over
 * packets at random: each must be accepted once, with 201, and then be known, with 200. Reports to
 * the leader are spelled likewise. Texts that are broken in one place must get 400. Meanwhile other
 * connections hold requests that are never completed; others must be answered in time, and the
 * sockets must come back.
 *
 * It guards against sound requests that are refused or become a second job, against malformed ones
 * that are accepted, and against requests that end, block or slow down a controller.
 *
 * Usage: request_spellings PROGRAM FIRST_SEED LAST_SEED
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "constants.h"
#include "core/runtime/http_status.h"
#include "loopback/loopback.h"
#include "loopback/process_use.h"
#include "loopback/raw_http.h"
#include "loopback/spelling.h"
#include "util/xalloc.h"
#include "wire/names.h"

#define JOBS_PER_SEED 6
#define SPELLINGS_PER_JOB 6 /* submissions of each job */
#define REPORTS_PER_SEED 12
#define BROKEN_PER_SEED 24
#define JOB_RUN_S 0.1
#define FIRST_UNKNOWN_JOB 900000 /* number of the first job that is never accepted */
#define FIRST_MACHINE 900000	 /* number of the first machine that only reports */
/* Users wait this long for the answer to a submission. */
#define ANSWER_TIMEOUT_S 5.0
/* Users wait 2 s for the answer to a poll, and the probes of the load balancer 1 s. */
#define OTHERS_WAIT_MAX_S 1.0
#define SUBMISSION_TRIES_MAX 60
#define SUBMISSION_RETRY_S 0.5
#define STALLED_CONNECTIONS 60
#define NEWEST_LEADER_KEY "leader/2" /* leader's key in the newest format of the records */

struct test {
	struct loopback *loopback;
	struct spelling spelling;
	unsigned long seed;
	int next_job, next_unknown_job, next_machine;
	int failures;
	int accepted, known, reports, broken; /* requests that were answered as expected */
	double longest_wait_s;		      /* for an answer to a request of another caller */
};

/* --- expectations --- */

/* Counts and prints a request whose answer has another status than the expected one. Returns
 * whether it has the expected one. */
static bool expect_status(struct test *test, const char *what, const struct buf *request,
			  const struct raw_answer *answer, int expected)
{
	if (answer->status == expected)
		return true;
	test->failures++;
	fprintf(stderr, "seed %lu: %s: status %d, expected %d; request: %.*s\nanswer: %s\n",
		test->seed, what, answer->status, expected, (int)request->len,
		buf_contents(request), answer->text);
	return false;
}

/* Another caller asks a controller whether it is ready, which must be answered in time. */
static void expect_others_served(struct test *test, int controller)
{
	static const char request[] = "GET " W_PATH_READY " HTTP/1.1\r\nHost: x\r\n\r\n";
	struct raw_answer answer =
	    raw_request(test->loopback, controller, request, sizeof(request) - 1, ANSWER_TIMEOUT_S);

	if (answer.after_s > test->longest_wait_s)
		test->longest_wait_s = answer.after_s;
	if (answer.status == STATUS_OK && answer.after_s <= OTHERS_WAIT_MAX_S)
		return;
	test->failures++;
	fprintf(stderr, "seed %lu: controller %d answers others %d after %.2f s\n", test->seed,
		controller, answer.status, answer.after_s);
}

/* --- requests --- */

/* Sends the request in random pieces to the controller, on a connection of its own. */
static struct raw_answer exchange(struct test *test, int controller, const struct buf *request)
{
	static const size_t pieces[] = {1, 7, 100, 1000, HTTP_BODY_MAX};
	size_t piece = pieces[spelling_draw(&test->spelling, sizeof(pieces) / sizeof(*pieces))];
	struct raw_answer answer = {0};
	int fd = raw_connect(test->loopback->controllers[controller].front);

	if (fd < 0)
		return answer;
	answer = raw_exchange(test->loopback, fd, buf_contents(request), request->len, piece,
			      ANSWER_TIMEOUT_S);
	close(fd);
	return answer;
}

/* Sends the request again while the answer asks for that. */
static struct raw_answer exchange_until_taken(struct test *test, int controller,
					      const struct buf *request)
{
	struct raw_answer answer = exchange(test, controller, request);

	for (int i = 0; i < SUBMISSION_TRIES_MAX && (answer.status == STATUS_UNAVAILABLE ||
						     answer.status == STATUS_TOO_MANY_REQUESTS);
	     i++) {
		loopback_run(test->loopback, SUBMISSION_RETRY_S);
		answer = exchange(test, controller, request);
	}
	return answer;
}

/* Makes the request that posts one random spelling of the object. */
static struct buf spelled_request(struct test *test, const char *path, const json_t *object)
{
	struct buf body = {0}, request = {0};

	spelling_add_object(&test->spelling, &body, object);
	spelling_add_request(&test->spelling, &request, path, &body);
	buf_free(&body);
	return request;
}

/* Submits the job once more. `known`: it was accepted before. */
static void submit_spelled(struct test *test, struct standin_job *job, bool known)
{
	int controller = (int)spelling_draw(&test->spelling, LOOPBACK_CONTROLLERS);
	json_t *description = wire_job_encode(&job->spec);
	struct buf request = spelled_request(test, W_PATH_JOBS, description);
	struct raw_answer answer;
	char id_member[ID_MAX + 16];

	job->submitted = true;
	answer = exchange_until_taken(test, controller, &request);
	standin_submission_answered(&test->loopback->standin, job->spec.id, answer.status);
	snprintf(id_member, sizeof(id_member), "\"" W_ID "\":\"%s\"", job->spec.id);
	if (expect_status(test, known ? "repeated submission" : "submission", &request, &answer,
			  known ? STATUS_OK : STATUS_CREATED)) {
		test->known += known;
		test->accepted += !known;
		if (!strstr(answer.text, id_member)) {
			test->failures++;
			fprintf(stderr, "seed %lu: answer about another job than %s: %s\n",
				test->seed, job->spec.id, answer.text);
		}
	}
	buf_free(&request);
	json_decref(description);
}

/* A known job is never refused, however its repetition is spelled: also with a field that is
 * invalid. */
static void submit_invalid_repetition(struct test *test, const struct standin_job *job)
{
	static const char *const fields[] = {W_TASKS, W_CPUS, W_KIND, W_TEAM, W_DEADLINE};
	size_t field = spelling_draw(&test->spelling, sizeof(fields) / sizeof(*fields));
	json_t *description = wire_job_encode(&job->spec);
	struct buf request;
	struct raw_answer answer;

	json_object_set_new(description, fields[field], json_pack("[i]", 1));
	request = spelled_request(test, W_PATH_JOBS, description);
	answer = exchange_until_taken(test, 0, &request);
	expect_status(test, "invalid repetition of a known job", &request, &answer, STATUS_OK);
	buf_free(&request);
	json_decref(description);
}

static void try_job(struct test *test)
{
	int number = test->next_job++;
	struct standin_job *job;

	loopback_add_job(test->loopback, number, JOB_ARRAY, 1, JOB_RUN_S);
	job = loopback_job(test->loopback, number);
	for (int i = 0; i < SPELLINGS_PER_JOB; i++)
		submit_spelled(test, job, i > 0);
	submit_invalid_repetition(test, job);
}

/* Returns a report of a machine that runs nothing and is of a type that no job uses. */
static json_t *report_of(int machine, const char *type, int token)
{
	return json_pack("{s:o,s:s,s:s,s:s,s:b,s:i,s:i,s:i,s:n,s:[]}", W_MACHINE,
			 json_sprintf("vm-%06d", machine), W_ADDR, "127.0.0.1:9", W_MACHINE_TYPE,
			 type, W_ZONE, "a", W_SPOT, 0, W_INCARNATION, 1, W_SEQUENCE, 1, W_TOKEN,
			 token, W_PREEMPTION_NOTICE, W_TASKS);
}

static int leader_index(const struct loopback *loopback)
{
	const char *name = loopback_leader(loopback, NEWEST_LEADER_KEY);

	return name ? atoi(name + strlen("node-")) : -1;
}

static void try_report(struct test *test)
{
	json_t *report = report_of(test->next_machine++, "none", 0);
	struct buf request = spelled_request(test, W_PATH_HEARTBEAT, report);
	struct raw_answer answer = exchange(test, leader_index(test->loopback), &request);

	if (expect_status(test, "report", &request, &answer, STATUS_OK))
		test->reports++;
	buf_free(&request);
	json_decref(report);
}

/* Sends a text that is broken in one place: a job that nobody submitted otherwise, or a report. */
static void try_broken(struct test *test)
{
	bool is_report = spelling_draw(&test->spelling, 2);
	struct standin_job job = {.spec = {.class_name = "any", .team = "core", .image = "img"}};
	struct buf body = {0}, request = {0};
	struct raw_answer answer;
	json_t *object;

	snprintf(job.spec.id, sizeof(job.spec.id), W_JOB_PREFIX "%d", test->next_unknown_job++);
	job.spec.task_count = 1;
	object = is_report ? report_of(FIRST_MACHINE, "none", 0) : wire_job_encode(&job.spec);
	spelling_add_broken(&test->spelling, &body, object);
	spelling_add_plain_request(&request, is_report ? W_PATH_HEARTBEAT : W_PATH_JOBS, &body);
	answer = exchange(test, leader_index(test->loopback), &request);
	if (expect_status(test, "broken text", &request, &answer, STATUS_BAD_REQUEST))
		test->broken++;
	buf_free(&body);
	buf_free(&request);
	json_decref(object);
}

static void try_seed(struct test *test, unsigned long seed)
{
	test->seed = seed;
	test->spelling.seed[0] = (unsigned short)seed;
	test->spelling.seed[1] = (unsigned short)(seed >> 16);
	test->spelling.seed[2] = 0;
	for (int i = 0; i < JOBS_PER_SEED; i++)
		try_job(test);
	for (int i = 0; i < REPORTS_PER_SEED; i++)
		try_report(test);
	for (int i = 0; i < BROKEN_PER_SEED; i++) {
		try_broken(test);
		if (i % LOOPBACK_CONTROLLERS == 0)
			expect_others_served(test, leader_index(test->loopback));
	}
}

/* --- requests that are never completed --- */

/* Opens a connection that sends the beginning of a request. */
static int open_stalled(struct test *test, int controller, size_t kind)
{
	static const char *const beginnings[] = {
	    "",
	    "POST " W_PATH_JOBS " HT",
	    "POST " W_PATH_JOBS " HTTP/1.1\r\nContent-Length: 50",
	    "POST " W_PATH_JOBS " HTTP/1.1\r\nContent-Length: 500\r\n\r\n{\"" W_ID "\":\"job-1",
	    "POST " W_PATH_JOBS " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{\"uid\"",
	    "POST " W_PATH_HEARTBEAT
	    " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\nX",
	    "POST " W_PATH_JOBS " HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n",
	};
	const char *text = beginnings[kind % (sizeof(beginnings) / sizeof(*beginnings))];
	int fd = raw_connect(test->loopback->controllers[controller].front);

	if (fd >= 0 && *text)
		raw_send(fd, text, strlen(text));
	return fd;
}

/* Sends one further byte on each second connection, and asks for an answer as another caller. */
static void keep_stalled(struct test *test, const int *fds, int controller)
{
	double until = net_now() + NET_MESSAGE_TIMEOUT_S + 2 * NET_SWEEP_MS / 1000.0;

	while (net_now() < until) {
		for (int i = 0; i < STALLED_CONNECTIONS; i += 2)
			raw_send(fds[i], "x", 1);
		expect_others_served(test, controller);
		loopback_run(test->loopback, SUBMISSION_RETRY_S);
	}
}

/* Stalled requests must not keep others waiting, and their sockets must come back. */
static void try_stalled_requests(struct test *test)
{
	int controller = leader_index(test->loopback);
	pid_t pid = test->loopback->controllers[controller].pid;
	int before = process_descriptors(pid), after;
	int fds[STALLED_CONNECTIONS];

	for (int i = 0; i < STALLED_CONNECTIONS; i++)
		fds[i] = open_stalled(test, controller, (size_t)i);
	keep_stalled(test, fds, controller);
	try_job(test);
	after = process_descriptors(pid);
	/* Connections on which nothing was sent are idle, not stalled. */
	if (after > before + STALLED_CONNECTIONS / 2) {
		test->failures++;
		fprintf(stderr, "%d descriptors before the stalled requests, %d after\n", before,
			after);
	}
	for (int i = 0; i < STALLED_CONNECTIONS; i++)
		if (fds[i] >= 0)
			close(fds[i]);
}

/* --- the test --- */

/* Whether each controller still runs as the process that was started. */
static bool controllers_run(const struct loopback *loopback)
{
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		if (kill(loopback->controllers[i].pid, 0))
			return false;
	return true;
}

/* Waits until each controller is ready. */
static bool wait_until_ready(struct test *test)
{
	static const char request[] = "GET " W_PATH_READY " HTTP/1.1\r\nHost: x\r\n\r\n";
	double until = net_now() + LOOPBACK_TIMEOUT_S;
	int ready = 0;

	while (ready < LOOPBACK_CONTROLLERS && net_now() < until) {
		loopback_run(test->loopback, SUBMISSION_RETRY_S);
		if (raw_request(test->loopback, ready, request, sizeof(request) - 1,
				ANSWER_TIMEOUT_S)
			.status == STATUS_OK)
			ready++;
	}
	return ready == LOOPBACK_CONTROLLERS && leader_index(test->loopback) >= 0;
}

static bool run_test(struct test *test, unsigned long first_seed, unsigned long last_seed)
{
	if (!wait_until_ready(test)) {
		fprintf(stderr, "the controllers are not ready after %.0f s\n", LOOPBACK_TIMEOUT_S);
		return false;
	}
	for (unsigned long seed = first_seed; seed <= last_seed; seed++)
		try_seed(test, seed);
	try_stalled_requests(test);
	printf("seeds %lu to %lu: %d jobs accepted, %d repetitions known, %d reports, %d broken "
	       "texts refused, %d failures; others waited for %.3f s at most\n",
	       first_seed, last_seed, test->accepted, test->known, test->reports, test->broken,
	       test->failures, test->longest_wait_s);
	return !test->failures && controllers_run(test->loopback);
}

int main(int argc, char **argv)
{
	static struct loopback loopback;
	struct test test = {.loopback = &loopback,
			    .next_job = 1,
			    .next_unknown_job = FIRST_UNKNOWN_JOB,
			    .next_machine = FIRST_MACHINE};
	bool ok;

	if (argc != 4 || loopback_init(&loopback))
		return 2;
	for (int i = 0; i < LOOPBACK_CONTROLLERS; i++)
		loopback_start(&loopback, i, argv[1]);
	ok = run_test(&test, strtoul(argv[2], NULL, 10), strtoul(argv[3], NULL, 10));
	ok = !loopback_rule_broken(&loopback) && ok;
	loopback_free(&loopback);
	return !ok;
}
