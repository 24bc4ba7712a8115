/*
 * What the leader's paths cost: processor time and allocations for each kind of event, against
 * answers that a state service and a cloud would give. Inputs are fixed, so the allocations do not
 * vary; times do, with the machine: compare runs made in turn. It prints figures, and fails if an
 * unchanged report takes more allocations than stated below.
 * Usage: bench_report [MACHINES [ROUNDS]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "conf/conf.h"
#include "core/core.h"
#include "core/state.h"
#include "util/log.h"
#include "wire/names.h"

#define REPORT_S 4.0
#define UNCHANGED_ALLOCATIONS_MAX 4.0 /* the answer, its text, and what is due beside it */

struct bench {
	struct conf conf;
	struct core *core;
	double now;
	unsigned long long revision, token;
	uint64_t watch; /* the open read of the jobs' changes */
	int listed;	/* machines that the cloud lists */
	char *page;	/* its newest page */
};

static struct core_time at(const struct bench *b)
{
	struct core_time t = {b->now, b->now + 1.8e9};

	return t;
}

static const char catalog[] =
    "{\"" W_TYPES "\":[{\"" W_NAME "\":\"g\",\"" W_CPUS "\":16,\"" W_GPUS "\":0,\"" W_MEMORY
    "\":64,\"" W_CACHE "\":50,\"" W_FETCH "\":1,\"" W_PRICE "\":1,\"" W_SPOT_PRICE
    "\":0.3,\"" W_BOOT "\":30,\"" W_ZONES "\":[\"a\"]}]}";

#define PAGE_MAX 500	 /* machines of a page, from the protocol */
#define LISTED_BYTES 200 /* of one machine in it, at most */

/* A page of the cloud's list, beginning after the machine that the path names. */
static const char *list_page(struct bench *b, const char *path)
{
	const char *after = strstr(path, W_AFTER "=vm-");
	int first = after ? atoi(after + strlen(W_AFTER "=vm-")) + 1 : 0, last = first + PAGE_MAX;
	size_t cap = (size_t)PAGE_MAX * LISTED_BYTES + 100, len;

	free(b->page);
	b->page = malloc(cap);
	if (!b->page)
		abort();
	if (last > b->listed)
		last = b->listed;
	len = (size_t)snprintf(b->page, cap, "{\"" W_MACHINES_LIST "\":[");
	for (int i = first; i < last; i++)
		len += (size_t)snprintf(b->page + len, cap - len,
					"%s{\"" W_ID "\":\"vm-%06d\",\"" W_ADDR
					"\":\"10.1.%d.%d:9000\",\"" W_TYPE "\":\"g\",\"" W_ZONE
					"\":\"a\",\"" W_SPOT "\":false,\"" W_STATE
					"\":\"" W_CLOUD_RUNNING "\",\"" W_AGE "\":60}",
					i > first ? "," : "", i, i / 250, i % 250 + 1);
	snprintf(b->page + len, cap - len, "],\"" W_MORE "\":%s}",
		 last < b->listed ? "true" : "false");
	return b->page;
}

/* The answer to a call; NULL: none comes. */
static const char *answer(struct bench *b, const struct core_action *a, int *status, char *buf,
			  size_t cap)
{
	*status = 200;
	if (!strcmp(a->path, W_PATH_TYPES))
		return catalog;
	if (!strncmp(a->path, W_PATH_WATCH, strlen(W_PATH_WATCH)))
		return NULL;
	if (!strncmp(a->path, W_PATH_KEYS "/", strlen(W_PATH_KEYS) + 1))
		*status = 404;
	if (!strcmp(a->path, W_PATH_LEASES))
		snprintf(buf, cap, "{\"" W_LEASE "\":7}");
	else if (!strncmp(a->path, W_PATH_MACHINES, strlen(W_PATH_MACHINES)))
		return list_page(b, a->path);
	else if (!strcmp(a->path, W_PATH_TXN) && strstr(a->body, "\"leader\""))
		snprintf(buf, cap, "{\"" W_REVISION "\":%llu}", b->token = ++b->revision);
	else
		snprintf(buf, cap, "{\"" W_REVISION "\":%llu,\"" W_ITEMS "\":[]}", ++b->revision);
	return buf;
}

/* What a transaction put under the jobs' keys is told to the leader's open read of them. */
static void tell_jobs(struct bench *b, const char *body)
{
	json_t *o = wire_parse(body, strlen(body)), *events = json_array(), *e;
	struct core_answer r = {b->watch, 200, NULL, 0};
	size_t i;
	char *text;

	json_array_foreach (json_object_get(o, W_THEN), i, e) {
		const char *key = json_string_value(json_object_get(e, W_PUT));

		if (!key || strncmp(key, KEY_OPEN_JOBS, strlen(KEY_OPEN_JOBS)))
			continue;
		json_object_set_new(e, W_VERSION, json_integer((json_int_t)b->revision));
		json_array_append(events, e);
	}
	if (json_array_size(events) && b->watch) {
		b->watch = 0;
		o = json_pack("{s:I,s:O,s:o}", W_REVISION, (json_int_t)b->revision, W_EVENTS,
			      events, "of", o);
		text = json_dumps(o, JSON_COMPACT);
		r.body = text;
		r.len = strlen(text);
		core_answer(b->core, at(b), &r);
		free(text);
	}
	json_decref(events);
	json_decref(o);
}

static void drain(struct bench *b)
{
	struct core_action *a;
	char buf[512];

	while ((a = core_take(b->core))) {
		int status;
		const char *body =
		    a->kind == ACT_SEND ? answer(b, a, &status, buf, sizeof(buf)) : NULL;
		struct core_answer r = {a->id, 0, body, body ? strlen(body) : 0};

		if (!body && a->kind == ACT_SEND && strstr(a->path, "=" KEY_OPEN_JOBS))
			b->watch = a->id;
		if (body) {
			r.status = status;
			core_answer(b->core, at(b), &r);
		}
		if (body && !strcmp(a->path, W_PATH_TXN))
			tell_jobs(b, a->body);
		core_action_free(a);
	}
}

/* Allocations since the start, of the library's users too; the sanitizers bring their own. */
static unsigned long long allocs;

#ifndef __SANITIZE_ADDRESS__
void *__libc_malloc(size_t n);
void *__libc_calloc(size_t n, size_t size);
void *__libc_realloc(void *p, size_t n);

void *malloc(size_t n)
{
	allocs++;
	return __libc_malloc(n);
}

void *calloc(size_t n, size_t size)
{
	allocs++;
	return __libc_calloc(n, size);
}

void *realloc(void *p, size_t n)
{
	allocs++;
	return __libc_realloc(p, n);
}
#endif

static double cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

struct measure {
	double cpu;
	unsigned long long allocs;
};

static struct measure begin(void)
{
	struct measure m = {cpu_s(), allocs};

	return m;
}

/* The allocations of each event. */
static double end(const struct measure *from, const char *what, long n)
{
	double us = (cpu_s() - from->cpu) * 1e6;

	double each = (double)(allocs - from->allocs) / (double)n;

	printf("%-46s %8ld times %9.1f us %8.1f allocations each\n", what, n, us / (double)n, each);
	return each;
}

static void ask(struct bench *b, const char *method, const char *path, const char *body)
{
	struct core_request r = {1, CORE_FRONT, method, path, body, strlen(body)};

	core_request(b->core, at(b), &r);
	drain(b);
}

/* `tasks`: the text of the list. */
static void report(struct bench *b, int machine, int seq, const char *tasks)
{
	char body[2048];

	snprintf(body, sizeof(body),
		 "{\"" W_MACHINE "\":\"vm-%06d\",\"" W_ADDR "\":\"10.1.%d.%d:9000\",\"" W_TYPE
		 "\":\"g\",\"" W_ZONE "\":\"a\",\"" W_SPOT "\":false,\"" W_INCARNATION
		 "\":1,\"" W_SEQUENCE "\":%d,\"" W_TOKEN "\":%llu,\"" W_PREEMPTION_NOTICE
		 "\":null,\"" W_TASKS "\":[%s]}",
		 machine, machine / 250, machine % 250 + 1, seq, b->token, tasks);
	ask(b, "POST", W_PATH_HEARTBEAT, body);
}

static double reports(struct bench *b, const char *what, int machines, int first, int rounds,
		      const char *tasks)
{
	struct measure m = begin();

	for (int k = first; k < first + rounds; k++)
		for (int i = 0; i < machines; i++, b->now += REPORT_S / machines)
			report(b, i, k, tasks);
	return end(&m, what, (long)machines * rounds);
}

static void submit(struct bench *b, int id, int tasks, const char *kind)
{
	char body[1024];

	snprintf(body, sizeof(body),
		 "{\"" W_ID "\":\"job-%06d\",\"" W_CLASS "\":\"any\",\"" W_TEAM
		 "\":\"core\",\"" W_KIND "\":\"%s\",\"" W_PRIORITY "\":\"" W_PRIO_NORMAL
		 "\",\"" W_TASKS "\":%d,\"" W_CPUS "\":8,\"" W_GPUS "\":0,\"" W_MEMORY
		 "\":8,\"" W_IMAGE "\":\"i\",\"" W_IMAGE_GB "\":1,\"" W_ONE_ZONE
		 "\":false,\"" W_SPREAD "\":false,\"" W_SPOT "\":false,\"" W_ESTIMATE
		 "\":60,\"" W_CHECKPOINT "\":0,\"" W_SAVE "\":1}",
		 id, kind, tasks);
	ask(b, "POST", W_PATH_JOBS, body);
}

/* A second of the loop's ticks, with rounds, looks and timers as they fall due. */
static void ticks(struct bench *b, const char *what, int seconds)
{
	struct measure m = begin();

	for (int i = 0; i < seconds * 10; i++, b->now += 0.1) {
		core_tick(b->core, at(b));
		drain(b);
	}
	if (what)
		end(&m, what, seconds);
}

int main(int argc, char **argv)
{
	int machines = argc > 1 ? atoi(argv[1]) : 1000, rounds = argc > 2 ? atoi(argv[2]) : 50;
	struct bench b = {.now = 1000, .revision = 9998};
	struct conf_team team = {.name = "core"};
	struct measure m;
	double unchanged;

	log_setup("-", "error");
	snprintf(b.conf.store_addr, CONF_NAME_MAX, "10.2.0.1:2379");
	snprintf(b.conf.cloud_addr, CONF_NAME_MAX, "10.2.0.2:8443");
	b.conf.teams = &team;
	b.conf.team_count = 1;
	b.conf.report_s = REPORT_S;
	b.conf.lease_s = 22;
	b.conf.cancel_s = 1e6;
	b.conf.limits.rps = 150;
	b.conf.limits.write_rps = 1e6;
	b.conf.limits.value_kb = 8;
	b.conf.limits.txn_ops = 16;
	b.conf.max_connections = 1800;
	b.conf.idle_patience_s = 1e6;
	b.core = core_new(&b.conf, 1, at(&b));
	ticks(&b, NULL, 4);
	reports(&b, "a machine's first report", machines, 1, 1, "");
	unchanged = reports(&b, "an unchanged report, no tasks", machines, 2, rounds, "");
	reports(&b, "an unchanged report of two unknown tasks", machines, 100, 5,
		"{\"" W_TASK "\":\"job-900000/1\",\"" W_ATTEMPT "\":1,\"" W_STATE
		"\":\"" W_TASK_RUNNING "\"},{\"" W_TASK "\":\"job-900000/2\",\"" W_ATTEMPT
		"\":1,\"" W_STATE "\":\"" W_TASK_RUNNING "\"}");
	reports(&b, "unchanged again, with what other work there is", machines, 200, 2, "");
	ticks(&b, "a second at rest", 60);
	m = begin();
	for (int i = 0; i < 500; i++)
		submit(&b, i, i % 2 ? 4 : 1, i % 2 ? W_KIND_ARRAY : W_KIND_GANG);
	end(&m, "a submission, until it is committed", 500);
	reports(&b, "a report while 500 jobs are placed", machines, 300, 2, "");
	ticks(&b, "a second with 500 jobs", 20);
	m = begin();
	for (int i = 0; i < 500; i++)
		ask(&b, "GET", W_PATH_JOBS "/job-000007", "");
	end(&m, "a poll, until the state service is asked", 500);
	b.listed = machines;
	b.conf.cloud_rps = 100; /* no list was read before */
	m = begin();
	ticks(&b, NULL, 30);
	end(&m, "a list of all machines, with what is due beside", 30 / 4);
	core_free(b.core);
	free(b.page);
	if (unchanged <= UNCHANGED_ALLOCATIONS_MAX)
		return 0;
	fprintf(stderr, "an unchanged report takes %.1f allocations, at most %.1f are expected\n",
		unchanged, UNCHANGED_ALLOCATIONS_MAX);
	return 1;
}
