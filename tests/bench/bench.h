/*
 * Benchmark of a leader's core: users and agents send requests, a simulated state service and cloud
 * answer its calls, and processor time and allocations are measured. The input is fixed, so that
 * the number of allocations does not vary between runs.
 */
#ifndef PLOVERLOFT_BENCH_H
#define PLOVERLOFT_BENCH_H

#include <stddef.h>
#include <stdint.h>

#include "conf/conf.h"
#include "core/core.h"

#define BENCH_REPORT_S 4.0 /* seconds between two reports of a machine */

struct bench {
	struct conf conf;
	struct core *core;
	double now;		     /* seconds of the steady clock */
	unsigned long long revision; /* of the state service */
	unsigned long long token;    /* the leader's fencing token */
	uint64_t jobs_watch;	     /* id of the call that watches the jobs' changes; 0: none */
	int listed_machines;	     /* number of machines in the cloud's inventory */
	char *page;		     /* the inventory's page that was sent last; owned */
};

/* Returns the bench's present time by both clocks of the core. */
struct core_time bench_time(const struct bench *bench);

/* --- services.c --- */

/* Answers the core's calls until it sends no more. Drops its answers to requests. */
void bench_answer_all(struct bench *bench);

/* --- requests.c: these answer all calls of the core before they return --- */

/* Passes a request of a user or agent to the core. */
void bench_request(struct bench *bench, const char *method, const char *path, const char *body);

/* Submits the job with this number. `kind` is its kind's name in the protocol (W_KIND_...). */
void bench_submit(struct bench *bench, int number, int tasks, const char *kind);

/* Rounds of reports. In each round all machines report once, spread over BENCH_REPORT_S. */
struct bench_reports {
	int machines;	    /* number of machines */
	int first_sequence; /* sequence number of the reports of the first round */
	int rounds;
	const char *tasks; /* JSON text of each report's tasks, without the list's brackets */
};

/* Sends the reports to the core. */
void bench_report_rounds(struct bench *bench, const struct bench_reports *reports);

/* Advances the time by this many seconds with the core's ticks, which do the work that is due. */
void bench_run(struct bench *bench, int seconds);

/* --- measures.c --- */

/* Processor time and allocations of this process since its start, at the begin of a measurement. */
struct measure {
	double cpu_s;
	unsigned long long allocations;
};

/* Begins a measurement. */
struct measure measure_begin(void);

/*
 * Ends a measurement of `count` events called `what`. Prints the processor time and the allocations
 * of one event, and returns the allocations.
 */
double measure_end(const struct measure *begin, const char *what, long count);

#endif
