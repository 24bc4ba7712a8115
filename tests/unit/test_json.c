/*
 * Tests that the JSON parser for messages refuses a text that is not exactly one JSON value. It
 * guards against acting on a damaged message whose beginning happens to be valid.
 */
#include "support.h"

#include <string.h>

#include "wire/wire.h"

static void test_malformed_text_refused(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} cases[] = {
	    {"NaN", "{\"a\":NaN}"},
	    {"trailing text", "{\"a\":1}x"},
	    {"empty text", ""},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		json_t *value = wire_parse(cases[i].text, strlen(cases[i].text));

		failures += count_mismatch(cases[i].name, value != NULL, false);
		json_decref(value);
	}
	assert_int_equal(failures, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_malformed_text_refused),
	};

	return cmocka_run_group_tests_name("json", tests, NULL, NULL);
}
