/*
 * Tests of the cache of reports, which recognises a report that differs from a cached one only in
 * its sequence number and its token. They guard against a report that is recognised though
 * something else in it changed: the controller would go on with outdated tasks of that machine.
 */
#include "support.h"

#include <stdio.h>
#include <string.h>

#include "constants.h"
#include "core/agents/report_cache.h"
#include "wire/names.h"

#define REPORT_FIELDS                                                                              \
	"\"" W_MACHINE "\":\"vm-000001\",\"" W_ADDR "\":\"10.1.0.1:9000\",\"" W_MACHINE_TYPE       \
	"\":\"g\",\"" W_ZONE "\":\"a\",\"" W_SPOT "\":false,\"" W_INCARNATION "\":1,\"" W_SEQUENCE \
	"\":"
#define REPORT_HEAD "{" REPORT_FIELDS
#define REPORT_TAIL ",\"" W_TOKEN "\":41,\"" W_TASKS "\":[]}"

static const char stored_report[] = REPORT_HEAD "88" REPORT_TAIL;

/*
 * Stores the first report in an empty cache and looks up the second. Returns the sequence number of
 * the report found, and its token in *token, or 0 if the second is not recognised.
 */
static uint64_t numbers_recognised(const char *stored, const char *received, uint64_t *token)
{
	struct report_cache cache = {NULL};
	struct report_cache_entry *slot = NULL;
	const struct report *found;
	struct report report;
	uint64_t sequence = 0;

	assert_int_equal(wire_report_decode(stored, strlen(stored), &report), 0);
	report_cache_store(&cache, &slot, stored, strlen(stored), &report);
	wire_report_free(&report);
	found = report_cache_find(&cache, received, strlen(received));
	if (found) {
		sequence = found->sequence;
		*token = found->token;
	}
	report_cache_remove(&cache, &slot);
	return sequence;
}

static uint64_t sequence_recognised(const char *stored, const char *received)
{
	uint64_t token;

	return numbers_recognised(stored, received, &token);
}

struct lookup_case {
	const char *name;
	const char *text;
	uint64_t sequence; /* 0: the report is not recognised */
};

/*
 * Looks up each case's report after stored_report was stored. Returns the number of cases with an
 * unexpected result, and prints each of them.
 */
static int count_wrong_sequences(const struct lookup_case *cases, size_t count)
{
	int failures = 0;

	for (size_t i = 0; i < count; i++)
		failures += count_mismatch(
		    cases[i].name, (long long)sequence_recognised(stored_report, cases[i].text),
		    (long long)cases[i].sequence);
	return failures;
}

static void test_other_sequence_number_recognised(void **state)
{
	static const struct lookup_case cases[] = {
	    {"next number", REPORT_HEAD "89" REPORT_TAIL, 89},
	    {"longer number", REPORT_HEAD "1000" REPORT_TAIL, 1000},
	};

	(void)state;
	assert_int_equal(count_wrong_sequences(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_malformed_sequence_number_not_recognised(void **state)
{
	static const struct lookup_case cases[] = {
	    {"no number", REPORT_HEAD REPORT_TAIL, 0},
	    {"negative number", REPORT_HEAD "-9" REPORT_TAIL, 0},
	    {"fraction", REPORT_HEAD "9.5" REPORT_TAIL, 0},
	    {"leading zero", REPORT_HEAD "089" REPORT_TAIL, 0},
	    {"number out of range", REPORT_HEAD "99999999999999999999999" REPORT_TAIL, 0},
	};

	(void)state;
	assert_int_equal(count_wrong_sequences(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_other_text_not_recognised(void **state)
{
	static const struct lookup_case cases[] = {
	    {"another notice",
	     REPORT_HEAD "89,\"" W_TOKEN "\":41,\"" W_PREEMPTION_NOTICE "\":9,\"" W_TASKS "\":[]}",
	     0},
	    {"no token", REPORT_HEAD "89,\"" W_TASKS "\":[]}", 0},
	    {"token that is no number", REPORT_HEAD "89,\"" W_TOKEN "\":-1,\"" W_TASKS "\":[]}", 0},
	    {"trailing space", REPORT_HEAD "89" REPORT_TAIL " ", 0},
	    {"cut off", REPORT_HEAD "89", 0},
	};

	(void)state;
	assert_int_equal(count_wrong_sequences(cases, ARRAY_LENGTH(cases)), 0);
}

static void test_other_token_recognised(void **state)
{
	static const char received[] = REPORT_HEAD "89,\"" W_TOKEN "\":421,\"" W_TASKS "\":[]}";
	uint64_t token = 0;

	(void)state;
	assert_int_equal(numbers_recognised(stored_report, received, &token), 89);
	assert_int_equal(token, 421);
}

static void test_token_before_sequence_number_recognised(void **state)
{
	static const char stored[] = "{\"" W_TOKEN "\":41," REPORT_FIELDS "88}";
	static const char received[] = "{\"" W_TOKEN "\":5," REPORT_FIELDS "9}";
	uint64_t token = 0;

	(void)state;
	assert_int_equal(numbers_recognised(stored, received, &token), 9);
	assert_int_equal(token, 5);
}

static void test_second_number_not_cached(void **state)
{
	static const char sequence[] = REPORT_HEAD "88,\"x\":{\"" W_SEQUENCE "\":5}" REPORT_TAIL;
	static const char token[] = REPORT_HEAD "88,\"x\":{\"" W_TOKEN "\":41}" REPORT_TAIL;

	(void)state;
	assert_int_equal(sequence_recognised(sequence, sequence), 0);
	assert_int_equal(sequence_recognised(token, token), 0);
}

static void test_long_report_not_cached(void **state)
{
	char text[REPORT_CACHE_TEXT_MAX + 400];

	(void)state;
	snprintf(text, sizeof(text), REPORT_HEAD "88,\"x\":\"%0*d\"" REPORT_TAIL,
		 REPORT_CACHE_TEXT_MAX, 0);
	assert_int_equal(sequence_recognised(text, text), 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_other_sequence_number_recognised),
	    cmocka_unit_test(test_malformed_sequence_number_not_recognised),
	    cmocka_unit_test(test_other_text_not_recognised),
	    cmocka_unit_test(test_other_token_recognised),
	    cmocka_unit_test(test_token_before_sequence_number_recognised),
	    cmocka_unit_test(test_second_number_not_cached),
	    cmocka_unit_test(test_long_report_not_cached),
	};

	return cmocka_run_group_tests_name("report_cache", tests, NULL, NULL);
}
