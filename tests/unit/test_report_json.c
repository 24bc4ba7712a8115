/*
 * Worker reports as JSON: a report that is not understood as a whole is refused.
 * Field names are written out, not taken from names.h, so that a wrong name there is seen.
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

/* A task that a report leaves out counts as gone, so nothing may be skipped in silence. */
static void test_incomplete_reports_refused(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} cases[] = {
	    {"empty text", ""},
	    {"empty object", "{}"},
	    {"array", "[]"},
	    {"machine alone", "{\"poleiro\":\"vm-1\"}"},
	    {"task without its number", REPORT_OF_TASK("job-1", "running")},
	    {"unknown state of a task", REPORT_OF_TASK("job-1/0", "dancing")},
	};
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		struct report report;
		int result = wire_report_decode(cases[i].text, strlen(cases[i].text), &report);

		wrong += row_differs(cases[i].name, result != 0, true);
	}
	assert_int_equal(wrong, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_whole_report_accepted),
	    cmocka_unit_test(test_incomplete_reports_refused),
	};

	return cmocka_run_group_tests_name("report_json", tests, NULL, NULL);
}
