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

/* A report whose task has further members. */
#define REPORT_OF_TASK_WITH(members)                                                               \
	"{\"poleiro\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","      \
	"\"avulsas\":false,\"turno\":1,\"compasso\":1,\"batuta\":1,"                               \
	"\"partes\":[{\"parte\":\"job-1/0\",\"entrada\":1,\"estado\":\"ended\"," members "}]}"
/* A report with this sequence number and further members. */
#define REPORT_OF_SEQUENCE(sequence, members)                                                      \
	"{\"poleiro\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","      \
	"\"avulsas\":false,\"turno\":1,\"batuta\":1,\"compasso\":" sequence members "}"
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
	    {"end reason twice", REPORT_OF_TASK_WITH("\"motivo\":\"done\",\"motivo\":\"done\"")},
	    {"end reason no text", REPORT_OF_TASK_WITH("\"motivo\":1")},
	    {"saved twice", REPORT_OF_TASK_WITH("\"kept\":true,\"kept\":true")},
	    {"saved no boolean", REPORT_OF_TASK_WITH("\"kept\":1")},
	    {"attempt twice", REPORT_OF_TASK_WITH("\"entrada\":1")},
	    {"tasks twice", REPORT_OF_SEQUENCE("1", ",\"partes\":[],\"partes\":[]")},
	    {"notice beyond a double", REPORT_OF_SEQUENCE("1", ",\"avisoS\":1e400")},
	    {"notice twice", REPORT_OF_SEQUENCE("1", ",\"avisoS\":null,\"avisoS\":9")},
	    {"sequence twice", REPORT_OF_SEQUENCE("1", ",\"compasso\":1")},
	    {"sequence beyond 64 bits", REPORT_OF_SEQUENCE("18446744073709551616", "")},
	    {"negative sequence", REPORT_OF_SEQUENCE("-1", "")},
	    {"sequence with a fraction", REPORT_OF_SEQUENCE("1.5", "")},
	    {"inexact sequence", REPORT_OF_SEQUENCE("9007199254740993.0", "")},
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

static void test_sequence_spellings(void **state)
{
	static const struct {
		const char *text;
		uint64_t sequence;
	} cases[] = {
	    {REPORT_OF_SEQUENCE("0", ""), 0},
	    {REPORT_OF_SEQUENCE("18446744073709551615", ""), UINT64_MAX},
	    {REPORT_OF_SEQUENCE("9223372036854775808", ""), UINT64_C(1) << 63},
	    {REPORT_OF_SEQUENCE("88.0", ""), 88},
	    {REPORT_OF_SEQUENCE("8.8E1", ""), 88},
	};

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		struct report report;

		assert_int_equal(wire_report_decode(cases[i].text, strlen(cases[i].text), &report),
				 0);
		assert_true(report.sequence == cases[i].sequence);
		wire_report_free(&report);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_whole_report_accepted),
	    cmocka_unit_test(test_incomplete_reports_refused),
	    cmocka_unit_test(test_sequence_spellings),
	};

	return cmocka_run_group_tests_name("report_json", tests, NULL, NULL);
}
