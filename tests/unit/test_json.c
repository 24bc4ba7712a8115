/*
 * Tests that the JSON parser for messages refuses a text that is not exactly one JSON value. It
 * guards against acting on a damaged message whose beginning happens to be valid.
 */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

/* Nesting of which only the outer levels are kept. */
#define DEEP "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
#define DEEP_END "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"

static const struct {
	const char *name;
	const char *text;
} malformed[] = {
    {"NaN", "{\"a\":NaN}"},
    {"trailing text", "{\"a\":1}x"},
    {"quote behind the value", "{}\""},
    {"incomplete text behind the value", "[] \"a"},
    {"incomplete literal behind the value", "{}tru"},
    {"sign behind the value", "{}\n-"},
    {"number behind the value", "{}1"},
    {"NUL behind the value", "{}\\u0000"},
    {"empty text", ""},
    {"blanks only", " \n"},
    {"a number", "1"},
    {"a text", "\"a\""},
    {"two values", "{} {}"},
    {"comment", "{/*a*/}"},
    {"single quotes", "{'a':1}"},
    {"name without quotes", "{a:1}"},
    {"no colon", "{\"a\" 1}"},
    {"comma at the end", "{\"a\":1,}"},
    {"comma at the end of a list", "[1,]"},
    {"wrong bracket", "[1}"},
    {"too many brackets", "{}}"},
    {"cut in a name", "{\"a"},
    {"cut in a text", "{\"a\":\"b"},
    {"cut in an escape", "{\"a\":\"\\u00"},
    {"cut in a number", "{\"a\":1"},
    {"cut in a list", "{\"a\":[[1]"},
    {"cut literal", "[tru]"},
    {"leading zero", "[01]"},
    {"plus sign", "[+1]"},
    {"no digit before the point", "[.5]"},
    {"no digit after the point", "[1.]"},
    {"no digit in the exponent", "[1e]"},
    {"hexadecimal number", "[0x10]"},
    {"unknown escape", "[\"\\x41\"]"},
    {"no hexadecimal digit", "[\"\\u00g0\"]"},
    {"bare tab in a text", "[\"a\tb\"]"},
    {"text not UTF-8", "[\"\xff\"]"},
    {"surrogate in UTF-8", "[\"\xed\xa0\x80\"]"},
    {"overlong UTF-8", "[\"\xc0\xaf\"]"},
    {"not UTF-8 beside an escape", "[\"\\n\xed\xa0\x80\"]"},
    {"name not UTF-8", "{\"\xed\xa0\x80\":1}"},
    {"name not UTF-8 beside an escape", "{\"\\n\xed\xa0\x80\":1}"},
    {"deep text not UTF-8", DEEP "[\"\xed\xa0\x80\"]" DEEP_END},
    {"deep name not UTF-8", DEEP "{\"\xed\xa0\x80\":1}" DEEP_END},
    {"byte order mark", "\xef\xbb\xbf{}"},
};
static void test_malformed_text_refused(void **state)
{
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(malformed); i++) {
		json_t *value = wire_parse(malformed[i].text, strlen(malformed[i].text));

		failures += count_mismatch(malformed[i].name, value != NULL, false);
		json_decref(value);
	}
	assert_int_equal(failures, 0);
}

/* Returns whether the parser keeps the text's values as they are. */
static bool is_kept(const char *text)
{
	json_t *value = wire_parse(text, strlen(text));
	json_t *expected = json_loads(text, 0, NULL);
	bool equal = json_equal(value, expected);

	json_decref(value);
	json_decref(expected);
	return equal;
}

static void test_values_kept(void **state)
{
	static const char *const texts[] = {
	    "{}",
	    " [ ] \r\n",
	    "{\"\":\"\",\"a\":[true,false,null,{\"a\":{}}]}",
	    "[0,7,9223372036854775807,0.5,1e3,-1.5,-2E-2]",
	    "{\"gr\\u00f6\\u00dfe\":\"\\ud83d\\ude00 \\\"\\\\\\/\\b\\f\\n\\r\\t\"}",
	    "[ \"\\u0041\" , \"\\u0042\" ]",
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(texts); i++)
		failures += count_mismatch(texts[i], is_kept(texts[i]), true);
	assert_int_equal(failures, 0);
}

/* The text must not be read beyond its length, wherever it ends. */
static void test_every_cut_refused(void **state)
{
	static const char whole[] = "{\"a\\u0041\":[1.5e2,\"\\ud83d\\ude00\",{}],\"b\":null}";
	int failures = 0;

	(void)state;
	for (size_t len = 0; len < sizeof(whole) - 1; len++) {
		char *cut = malloc(len + 1);
		json_t *value = wire_parse(memcpy(cut, whole, len), len);

		failures += count_mismatch(whole + len, value != NULL, false);
		json_decref(value);
		free(cut);
	}
	assert_int_equal(failures, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_malformed_text_refused),
	    cmocka_unit_test(test_values_kept),
	    cmocka_unit_test(test_every_cut_refused),
	};

	return cmocka_run_group_tests_name("json", tests, NULL, NULL);
}
