/*
 * A leader under a bench: its core, the answers that a state service and a cloud would give, and
 * measures of what it costs. Inputs are fixed, so that the allocations do not vary.
 */
#ifndef PLOVERLOFT_BENCH_H
#define PLOVERLOFT_BENCH_H

#include <stddef.h>
#include <stdint.h>

#include "conf/conf.h"
#include "core/core.h"

#define BENCH_REPORT_S 4.0 /* seconds between reports of a machine */

struct bench {
	struct conf conf;
	struct core *core;
	double now; /* seconds, steady */
	unsigned long long revision;
	unsigned long long token; /* the leader's fencing token */
	uint64_t jobs_watch;	  /* the open read of the jobs' changes; 0: none */
	int listed_machines;	  /* in the cloud's inventory */
	char *page;		  /* newest page of it; owned */
};

/* The time as the core takes it. */
struct core_time bench_time(const struct bench *bench);

/* --- services.c --- */

/* Answers all that the core has sent, until it sends no more. */
void bench_answer_all(struct bench *bench);

/* --- requests.c: each is answered before it returns --- */

void bench_request(struct bench *bench, const char *method, const char *path, const char *body);

/* Submits a job of this number; `kind` as the wire names it. */
void bench_submit(struct bench *bench, int number, int tasks, const char *kind);

/* Reports of all machines, spread over their interval; `tasks` is the text of each one's list. */
struct bench_reports {
	int machines;
	int first_sequence;
	int rounds;
	const char *tasks;
};

void bench_report_rounds(struct bench *bench, const struct bench_reports *reports);

/* Ticks for so many seconds, with what falls due in them. */
void bench_run(struct bench *bench, int seconds);

/* --- measures.c --- */

/* What was used from a moment on. */
struct measure {
	double cpu_s;
	unsigned long long allocations;
};

struct measure measure_begin(void);

/* Prints what each of `count` events took; returns the allocations of each. */
double measure_end(const struct measure *begin, const char *what, long count);

#endif
