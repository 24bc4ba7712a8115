/*
 * Tests that no job is refused as malformed for the length of a name: the protocol limits none.
 * Jobs with long names must still be told apart by them.
 */
#include "support.h"

#include <stdio.h>
#include <string.h>

#include "wire/names.h"
#include "wire/wire.h"

#define TEXT_SIZE 8192
#define NAME_SIZE 1024

/* Fills `name` with up to `len` bytes: a repeated text and an end. */
static void make_name(char name[NAME_SIZE], size_t len, const char *text, const char *end)
{
	size_t at = 0;

	while (at + strlen(text) + strlen(end) <= len)
		at += (size_t)snprintf(name + at, NAME_SIZE - at, "%s", text);
	snprintf(name + at, NAME_SIZE - at, "%s", end);
}

/* Decodes a job whose names are all this one. Returns what wire_job_decode does. */
static int decode_job_named(const char *name, struct job_spec *spec)
{
	char text[TEXT_SIZE];
	const char *why;
	json_t *object;
	int result;

	snprintf(text, sizeof(text),
		 "{\"uid\":\"job-1\",\"naipe\":\"%s\",\"grupo\":\"%s\",\"feitio\":\"array\","
		 "\"vez\":\"normal\",\"partes\":3,\"cores\":1.0,\"gpus\":0,\"memGb\":2,"
		 "\"molde\":\"%s\",\"pullGb\":1,\"together\":false,\"scatter\":false,"
		 "\"avulsas\":true,\"previstoS\":10,\"marcoS\":0,\"gravarS\":0,\"praca\":\"%s\","
		 "\"feitiosMaquina\":[\"g\",\"%s\"]}",
		 name, name, name, name, name);
	object = wire_parse(text, strlen(text));
	assert_non_null(object);
	result = wire_job_decode(object, spec, &why);
	json_decref(object);
	return result;
}

/* Whether the description is the same once it was stored and read. */
static bool is_stored_unchanged(const struct job_spec *spec)
{
	json_t *stored = wire_job_encode(spec), *again;
	struct job_spec read;
	const char *why;
	bool equal = !wire_job_decode(stored, &read, &why);

	again = wire_job_encode(&read);
	equal = equal && json_equal(stored, again);
	wire_job_free(&read);
	json_decref(stored);
	json_decref(again);
	return equal;
}

static void test_long_names_accepted(void **state)
{
	static const char *const texts[] = {"a", "ö", "日", "😀", "a日"};

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(texts); i++) {
		for (size_t len = NAME_MAX_LEN - 8; len < NAME_MAX_LEN + 8; len++) {
			char name[NAME_SIZE];
			struct job_spec spec;

			make_name(name, len, texts[i], "x");
			assert_int_equal(decode_job_named(name, &spec), 0);
			assert_int_equal(spec.types.count, 2);
			assert_true(name_list_has(&spec.types, "g"));
			assert_true(is_stored_unchanged(&spec));
			if (strlen(name) < NAME_MAX_LEN)
				assert_string_equal(spec.image, name);
			wire_job_free(&spec);
		}
	}
}

static void test_long_names_told_apart(void **state)
{
	char name[NAME_SIZE], other_name[NAME_SIZE];
	struct job_spec spec, same, other;

	(void)state;
	make_name(name, NAME_SIZE - 1, "registry/image:", "1");
	make_name(other_name, NAME_SIZE - 1, "registry/image:", "2");
	assert_int_equal(decode_job_named(name, &spec), 0);
	assert_int_equal(decode_job_named(name, &same), 0);
	assert_int_equal(decode_job_named(other_name, &other), 0);
	assert_string_equal(spec.image, same.image);
	assert_string_not_equal(spec.image, other.image);
	assert_string_not_equal(spec.class_name, other.class_name);
	wire_job_free(&spec);
	wire_job_free(&same);
	wire_job_free(&other);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_long_names_accepted),
	    cmocka_unit_test(test_long_names_told_apart),
	};

	return cmocka_run_group_tests_name("refused_for_long_name", tests, NULL, NULL);
}
