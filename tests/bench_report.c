/*
 * What a worker's unchanged report costs the leader: processor time per report, with a thousand
 * machines of two tasks each, against answers that a state service and a cloud would give.
 * Not a test: it prints a figure. Usage: bench_report [MACHINES [ROUNDS]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "conf/conf.h"
#include "core/core.h"
#include "util/log.h"
#include "wire/names.h"

#define REPORT_S 4.0

struct bench {
	struct conf conf;
	struct core *core;
	double now;
	unsigned long long revision, token;
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
		snprintf(buf, cap, "{\"" W_MACHINES_LIST "\":[],\"" W_MORE "\":false}");
	else if (!strcmp(a->path, W_PATH_TXN) && strstr(a->body, "\"leader\""))
		snprintf(buf, cap, "{\"" W_REVISION "\":%llu}", b->token = ++b->revision);
	else
		snprintf(buf, cap, "{\"" W_REVISION "\":%llu,\"" W_ITEMS "\":[]}", ++b->revision);
	return buf;
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

		if (body) {
			r.status = status;
			core_answer(b->core, at(b), &r);
		}
		core_action_free(a);
	}
}

static void report(struct bench *b, int machine, int seq)
{
	char body[1024];
	struct core_request r = {1, CORE_FRONT, "POST", W_PATH_BEAT, body, 0};
	int n = snprintf(body, sizeof(body),
			 "{\"" W_MACHINE "\":\"vm-%06d\",\"" W_ADDR
			 "\":\"10.1.%d.%d:9000\",\"" W_TYPE "\":\"g\",\"" W_ZONE
			 "\":\"a\",\"" W_SPOT "\":false,\"" W_SESSION "\":1,\"" W_SEQ
			 "\":%d,\"" W_TOKEN "\":%llu,\"" W_NOTICE "\":null,\"" W_TASKS "\":[]}",
			 machine, machine / 250, machine % 250 + 1, seq, b->token);

	r.len = (size_t)n;
	core_request(b->core, at(b), &r);
	drain(b);
}

static double cpu_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec + (double)t.tv_nsec * 1e-9;
}

int main(int argc, char **argv)
{
	int machines = argc > 1 ? atoi(argv[1]) : 1000, rounds = argc > 2 ? atoi(argv[2]) : 50;
	struct bench b = {.now = 1000, .revision = 9998};
	struct conf_team team = {.name = "core"};
	double from;

	log_setup("-", "error");
	snprintf(b.conf.state, CONF_NAME_MAX, "10.2.0.1:2379");
	snprintf(b.conf.cloud, CONF_NAME_MAX, "10.2.0.2:8443");
	b.conf.teams = &team;
	b.conf.nteams = 1;
	b.conf.report_s = REPORT_S;
	b.conf.lease_s = 22;
	b.conf.cancel_s = 1e6;
	b.conf.state_write_rps = 60;
	b.conf.value_kb = 8;
	b.conf.txn_ops = 16;
	b.conf.idle_patience_s = 1e6;
	b.core = core_new(&b.conf, 1, at(&b));
	for (int i = 0; i < 40; i++, b.now += 0.1) {
		core_tick(b.core, at(&b));
		drain(&b);
	}
	for (int i = 0; i < machines; i++)
		report(&b, i, 1);
	from = cpu_s();
	for (int k = 2; k < rounds + 2; k++)
		for (int i = 0; i < machines; i++, b.now += REPORT_S / machines)
			report(&b, i, k);
	printf("%d machines: %.1f us a report, all the leader's other work in that time with it\n",
	       machines, (cpu_s() - from) * 1e6 / machines / rounds);
	core_free(b.core);
	return 0;
}
