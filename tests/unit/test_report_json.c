/*
 * Tests that an agent's report is refused unless all of it can be decoded.
 *
 * A task that is missing in a report counts as ended. If a malformed task were skipped, the
 * controller would start a task again that still runs. Field names are written out instead of taken
 * from names.h, so that a wrong name there fails a test.
 */
#include "support.h"

#include <string.h>

#include "wire/wire.h"

#define REPORT_OF_TASK(task, state)                                                                \
	"{\"poleiro\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","      \
	"\"avulsas\":false,\"turno\":1,\"compasso\":1,\"batuta\":1,"                               \
	"\"partes\":[{\"parte\":\"" task "\",\"entrada\":1,\"estado\":\"" state "\"}]}"

static void test_whole_report_accepted(void **state)
{
	static const char text[] = REPORT_OF_TASK("job-1/0", "running");
	struct report report;

	(void)state;
	assert_int_equal(wire_report_decode(text, strlen(text), &report), 0);
	assert_int_equal(report.task_count, 1);
	wire_report_free(&report);
}

/* A task that a report leaves out counts as ended, so no part of a report may be skipped. */
static void test_incomplete_reports_refused(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} cases[] = {
	    {"empty text", ""},
	    {"empty object", "{}"},
	    {"array", "[]"},
	    {"machine only", "{\"poleiro\":\"vm-1\"}"},
	    {"task id without index", REPORT_OF_TASK("job-1", "running")},
	    {"unknown task state", REPORT_OF_TASK("job-1/0", "dancing")},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		struct report report;
		int result = wire_report_decode(cases[i].text, strlen(cases[i].text), &report);

		failures += count_mismatch(cases[i].name, result != 0, true);
	}
	assert_int_equal(failures, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_whole_report_accepted),
	    cmocka_unit_test(test_incomplete_reports_refused),
	};

	return cmocka_run_group_tests_name("report_json", tests, NULL, NULL);
}
