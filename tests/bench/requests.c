/* Sends requests of users and agents to the core, and advances its time. */
#include <stdio.h>
#include <string.h>

#include "bench/bench.h"
#include "wire/names.h"

#define WALL_OFFSET_S 1.8e9 /* by which the wall clock is ahead of the steady one */
#define TICKS_PER_S 10
#define TICK_INTERVAL_S 0.1
#define REPORT_MAX 2048	    /* bytes of a report, with its NUL */
#define SUBMISSION_MAX 1024 /* bytes of a submission, with its NUL */
#define CONNECTION 1	    /* id of the connection by which all requests arrive */

struct core_time bench_time(const struct bench *bench)
{
	struct core_time time = {
	    .steady = bench->now,
	    .wall = bench->now + WALL_OFFSET_S,
	};

	return time;
}

void bench_request(struct bench *bench, const char *method, const char *path, const char *body)
{
	struct core_request request = {
	    .connection = CONNECTION,
	    .side = CORE_FRONT,
	    .method = method,
	    .path = path,
	    .body = body,
	    .len = strlen(body),
	};

	core_request(bench->core, bench_time(bench), &request);
	bench_answer_all(bench);
}

void bench_submit(struct bench *bench, int number, int tasks, const char *kind)
{
	char body[SUBMISSION_MAX];

	snprintf(body, sizeof(body),
		 "{\"" W_ID "\":\"job-%06d\",\"" W_CLASS "\":\"any\",\"" W_TEAM
		 "\":\"core\",\"" W_KIND "\":\"%s\",\"" W_PRIORITY "\":\"" W_PRIO_NORMAL
		 "\",\"" W_TASKS "\":%d,\"" W_CPUS "\":8,\"" W_GPUS "\":0,\"" W_MEMORY
		 "\":8,\"" W_IMAGE "\":\"i\",\"" W_IMAGE_GB "\":1,\"" W_ONE_ZONE
		 "\":false,\"" W_SPREAD "\":false,\"" W_SPOT "\":false,\"" W_ESTIMATE
		 "\":60,\"" W_CHECKPOINT "\":0,\"" W_SAVE "\":1}",
		 number, kind, tasks);
	bench_request(bench, "POST", W_PATH_JOBS, body);
}

/* Sends one machine's report. `tasks` is the JSON text of its tasks, without the brackets. */
static void send_report(struct bench *bench, int machine, int sequence, const char *tasks)
{
	char body[REPORT_MAX];

	snprintf(body, sizeof(body),
		 "{\"" W_MACHINE "\":\"vm-%06d\",\"" W_ADDR
		 "\":\"10.1.%d.%d:9000\",\"" W_MACHINE_TYPE "\":\"g\",\"" W_ZONE
		 "\":\"a\",\"" W_SPOT "\":false,\"" W_INCARNATION "\":1,\"" W_SEQUENCE
		 "\":%d,\"" W_TOKEN "\":%llu,\"" W_PREEMPTION_NOTICE "\":null,\"" W_TASKS
		 "\":[%s]}",
		 machine, machine / 250, machine % 250 + 1, sequence, bench->token, tasks);
	bench_request(bench, "POST", W_PATH_HEARTBEAT, body);
}

void bench_report_rounds(struct bench *bench, const struct bench_reports *reports)
{
	int last = reports->first_sequence + reports->rounds;

	for (int sequence = reports->first_sequence; sequence < last; sequence++) {
		for (int machine = 0; machine < reports->machines; machine++) {
			send_report(bench, machine, sequence, reports->tasks);
			bench->now += BENCH_REPORT_S / reports->machines;
		}
	}
}

void bench_run(struct bench *bench, int seconds)
{
	for (int i = 0; i < seconds * TICKS_PER_S; i++) {
		core_tick(bench->core, bench_time(bench));
		bench_answer_all(bench);
		bench->now += TICK_INTERVAL_S;
	}
}
