/*
 * Benchmark of the leader: prints the processor time and the allocations for each kind of event,
 * with a simulated state service and cloud. The input is fixed, so the number of allocations does
 * not vary between runs. The times depend on the machine: to compare two versions, run them
 * alternately.
 *
 * It fails if an unchanged report takes more than UNCHANGED_ALLOCATIONS_MAX allocations. This
 * guards against unchanged reports that are parsed again instead of being found in the cache of
 * reports, and against costs for each report that grow with the number of machines.
 *
 * Usage: bench_report [MACHINES [ROUNDS]]
 */
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/bench.h"
#include "util/log.h"
#include "wire/names.h"

/* Allocations for one unchanged report: for the answer, its text, and other work that is due. */
#define UNCHANGED_ALLOCATIONS_MAX 4.0

#define DEFAULT_MACHINES 1000
#define DEFAULT_ROUNDS 50
#define JOBS 500
#define POLLS 500
#define INVENTORY_S 30	     /* seconds in which the inventory is read periodically */
#define INVENTORY_PERIOD_S 4 /* approximate seconds between two reads of the inventory */

/* JSON text of a report's task whose job is unknown to the leader. */
#define UNKNOWN_TASK(index)                                                                        \
	"{\"" W_TASK "\":\"job-900000/" index "\",\"" W_ATTEMPT "\":1,\"" W_STATE                  \
	"\":\"" W_TASK_RUNNING "\"}"

static void set_conf(struct conf *conf, struct conf_team *team)
{
	snprintf(conf->store_addr, sizeof(conf->store_addr), "10.2.0.1:2379");
	snprintf(conf->cloud_addr, sizeof(conf->cloud_addr), "10.2.0.2:8443");
	conf->teams = team;
	conf->team_count = 1;
	conf->report_s = BENCH_REPORT_S;
	conf->lease_s = 22;
	conf->cancel_s = 1e6;
	conf->limits.rps = 150;
	conf->limits.write_rps = 1e6;
	conf->limits.value_kb = 8;
	conf->limits.txn_ops = 16;
	conf->max_connections = 1800;
	conf->idle_patience_s = 1e6;
}

/* Measures rounds of reports. Returns the allocations for one report. */
static double measure_reports(struct bench *bench, const char *what,
			      const struct bench_reports *reports)
{
	struct measure begin = measure_begin();

	bench_report_rounds(bench, reports);
	return measure_end(&begin, what, (long)reports->machines * reports->rounds);
}

/* Measures seconds in which the core only ticks, with the cycles, scans and timers that are due. */
static void measure_seconds(struct bench *bench, const char *what, int seconds)
{
	struct measure begin = measure_begin();

	bench_run(bench, seconds);
	measure_end(&begin, what, seconds);
}

/* Measures reports without and with tasks. Returns the allocations for one unchanged report. */
static double measure_idle(struct bench *bench, int machines, int rounds)
{
	struct bench_reports first = {machines, 1, 1, ""};
	struct bench_reports same = {machines, 2, rounds, ""};
	struct bench_reports unknown = {machines, 100, 5, UNKNOWN_TASK("1") "," UNKNOWN_TASK("2")};
	struct bench_reports again = {machines, 200, 2, ""};
	double unchanged;

	measure_reports(bench, "a machine's first report", &first);
	unchanged = measure_reports(bench, "an unchanged report, no tasks", &same);
	measure_reports(bench, "an unchanged report of two unknown tasks", &unknown);
	measure_reports(bench, "unchanged again, with what other work there is", &again);
	measure_seconds(bench, "a second at rest", 60);
	return unchanged;
}

/* Measures alternate submissions of arrays and gangs, and reports while their tasks are placed. */
static void measure_jobs(struct bench *bench, int machines)
{
	struct bench_reports reports = {machines, 300, 2, ""};
	struct measure begin = measure_begin();

	for (int i = 0; i < JOBS; i++) {
		bool array = i % 2;

		bench_submit(bench, i, array ? 4 : 1, array ? W_KIND_ARRAY : W_KIND_GANG);
	}
	measure_end(&begin, "a submission, until it is committed", JOBS);
	measure_reports(bench, "a report while 500 jobs are placed", &reports);
	measure_seconds(bench, "a second with 500 jobs", 20);
}

/* Measures polls up to the requests that they send to the state service. */
static void measure_polls(struct bench *bench)
{
	struct measure begin = measure_begin();

	for (int i = 0; i < POLLS; i++)
		bench_request(bench, "GET", W_PATH_JOBS "/job-000007", "");
	measure_end(&begin, "a poll, until the state service is asked", POLLS);
}

/*
 * Measures reads of the inventory. None was read before, because the limit of requests to the cloud
 * was 0.
 */
static void measure_inventories(struct bench *bench, int machines)
{
	struct measure begin;

	bench->listed_machines = machines;
	bench->conf.cloud_rps = 100;
	begin = measure_begin();
	bench_run(bench, INVENTORY_S);
	measure_end(&begin, "a list of all machines, with what is due beside",
		    INVENTORY_S / INVENTORY_PERIOD_S);
}

int main(int argc, char **argv)
{
	int machines = argc > 1 ? atoi(argv[1]) : DEFAULT_MACHINES;
	int rounds = argc > 2 ? atoi(argv[2]) : DEFAULT_ROUNDS;
	struct bench bench = {.now = 1000, .revision = 9998};
	struct conf_team team = {.name = "core"};
	double unchanged;

	log_setup("-", "error");
	set_conf(&bench.conf, &team);
	bench.core = core_new(&bench.conf, 1, bench_time(&bench));
	bench_run(&bench, 4);
	unchanged = measure_idle(&bench, machines, rounds);
	measure_jobs(&bench, machines);
	measure_polls(&bench);
	measure_inventories(&bench, machines);
	core_free(bench.core);
	free(bench.page);
	if (unchanged <= UNCHANGED_ALLOCATIONS_MAX)
		return 0;
	fprintf(stderr, "an unchanged report takes %.1f allocations, expected at most %.1f\n",
		unchanged, UNCHANGED_ALLOCATIONS_MAX);
	return 1;
}
