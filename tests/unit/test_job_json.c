/*
 * Tests of decoding and encoding job descriptions as JSON.
 *
 * They guard against a job that is accepted though a field is missing or has a value out of range,
 * and would then run with other resources than its user asked for, and against fields that change
 * when a decoded job is encoded again. Field names are written out instead of taken from names.h,
 * so that a wrong name there fails a test.
 */
#include "support.h"

#include <stdio.h>
#include <string.h>

#include "constants.h"
#include "wire/names.h"
#include "wire/wire.h"

static const char valid_job[] =
    "{\"uid\":\"job-1\",\"naipe\":\"c\",\"grupo\":\"t\",\"feitio\":\"array\",\"vez\":\"normal\","
    "\"partes\":3,\"cores\":1.0,\"gpus\":0,\"memGb\":2,\"molde\":\"i\",\"pullGb\":1,"
    "\"feitiosMaquina\":null,\"praca\":null,\"together\":false,\"scatter\":false,"
    "\"avulsas\":true,\"previstoS\":10,\"marcoS\":0,\"gravarS\":0,\"prazoS\":null}";

static json_t *valid_job_json(void)
{
	return wire_parse(valid_job, sizeof(valid_job) - 1);
}

/* Returns whether the job is accepted. Takes ownership of the reference to it. */
static bool accepted(json_t *job)
{
	struct job_spec spec;
	const char *why;
	int result = wire_job_decode(job, &spec, &why);

	wire_job_free(&spec);
	json_decref(job);
	return result == 0;
}

/* Returns whether the valid job is still accepted after `field` got the value in this JSON text,
 * parsed as in a message. */
static bool accepted_with(const char *field, const char *value)
{
	json_t *job = valid_job_json(), *parsed;
	char text[128];
	int len = snprintf(text, sizeof(text), "[%s]", value);

	assert_in_range(len, 1, sizeof(text) - 1);
	parsed = wire_parse(text, (size_t)len);
	assert_non_null(parsed);
	json_object_set(job, field, json_array_get(parsed, 0));
	json_decref(parsed);
	return accepted(job);
}

/* Returns whether the valid job is still accepted after `field` was removed. */
static bool accepted_without(const char *field)
{
	json_t *job = valid_job_json();

	json_object_del(job, field);
	return accepted(job);
}

static void test_unknown_field_ignored(void **state)
{
	(void)state;
	assert_true(accepted_with("other", "[{}]"));
}

static void test_wrong_values_refused(void **state)
{
	static const struct {
		const char *field;
		const char *value;
	} cases[] = {
	    {"uid", "\"job-\""},      {"uid", "\"job-1x\""},
	    {"uid", "\"jab-1\""},     {"uid", "7"},
	    {"partes", "0"},	      {"partes", "-1"},
	    {"partes", "1.5"},	      {"partes", "100001"},
	    {"partes", "\"3\""},      {"cores", "-1"},
	    {"cores", "\"NaN\""},     {"memGb", "null"},
	    {"feitio", "\"other\""},  {"vez", "\"soon\""},
	    {"together", "0"},	      {"avulsas", "null"},
	    {"feitiosMaquina", "[]"}, {"feitiosMaquina", "[1]"},
	    {"praca", "\"\""},	      {"praca", "3"},
	    {"prazoS", "-2"},	      {"molde", "\"\""},
	    {"grupo", "null"},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		if (!accepted_with(cases[i].field, cases[i].value))
			continue;
		print_error("job with field %s = %s was accepted, expected a refusal\n",
			    cases[i].field, cases[i].value);
		failures++;
	}
	assert_int_equal(failures, 0);
}

/* Returns whether the job is accepted, and ends in this text instead of its closing brace. */
static bool accepted_ending_in(const char *end)
{
	char text[1024];
	int len =
	    snprintf(text, sizeof(text), "%.*s,%s", (int)sizeof(valid_job) - 2, valid_job, end);

	assert_in_range(len, 1, sizeof(text) - 1);
	return accepted(wire_parse(text, (size_t)len));
}

/* Fields that are read have one value each, and it must be one that can be kept. */
static void test_unreadable_values_refused(void **state)
{
	static const char *const ends[] = {
	    "\"partes\":3}",
	    "\"praca\":null}",
	    "\"prazoS\":null,\"prazoS\":5}",
	    "\"feitiosMaquina\":[\"g\"]}",
	    "\"u\\u0069d\":\"job-1\"}",
	};
	static const struct {
		const char *field;
		const char *value;
	} cases[] = {
	    {"grupo", "\"t\\u0000\""},
	    {"molde", "\"i\\ud800\""},
	    {"uid", "\"job-1\\u0000\""},
	    {"praca", "\"\\udc00\""},
	    {"prazoS", "1e400"},
	    {"partes", "18446744073709551616"},
	    {"partes", "-18446744073709551613"},
	    {"partes", "2.5"},
	    {"feitiosMaquina", "[\"g\\u0000\"]"},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(ends); i++)
		failures += count_mismatch(ends[i], accepted_ending_in(ends[i]), false);
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++)
		failures += count_mismatch(cases[i].field,
					   accepted_with(cases[i].field, cases[i].value), false);
	assert_int_equal(failures, 0);
}

/* Numbers and texts have many spellings; each stands for the same job. */
static void test_spellings_accepted(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} cases[] = {
	    {"escapes",
	     "{\"u\\u0069d\":\"\\u006aob-1\",\"naipe\":\"c\",\"grupo\":\"\\u0074\",\"feitio\":"
	     "\"\\u0061rray\",\"vez\":\"normal\",\"partes\":3,\"cores\":1,\"gpus\":0,\"memGb\":2,"
	     "\"molde\":\"i\",\"pullGb\":1,\"together\":false,\"scatter\":false,\"avulsas\":true,"
	     "\"previstoS\":10,\"marcoS\":0,\"gravarS\":0}"},
	    {"numbers",
	     "{\"uid\":\"job-1\",\"naipe\":\"c\",\"grupo\":\"t\",\"feitio\":\"array\",\"vez\":"
	     "\"normal\",\"partes\":30e-1,\"cores\":0.1E+1,\"gpus\":-0.0,\"memGb\":2e0,\"molde\":"
	     "\"i\","
	     "\"pullGb\":1.000,\"together\":false,\"scatter\":false,\"avulsas\":true,\"previstoS\":"
	     "100e-1,\"marcoS\":-0,\"gravarS\":0e9}"},
	};

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		json_t *job = wire_parse(cases[i].text, strlen(cases[i].text));
		struct job_spec spec;
		const char *why;

		print_message("%s\n", cases[i].name);
		assert_int_equal(wire_job_decode(job, &spec, &why), 0);
		assert_string_equal(spec.id, "job-1");
		assert_string_equal(spec.team, "t");
		assert_int_equal(spec.task_count, 3);
		assert_true(spec.cpus == 1 && spec.gpus == 0 && spec.mem_gb == 2);
		assert_true(spec.estimate_s == 10 && spec.checkpoint_s == 0);
		wire_job_free(&spec);
		json_decref(job);
	}
}

/*
 * The protocol does not limit amounts. A large one is kept as one that no machine and no team has,
 * so that a job of such tasks is refused as one that can never run; such a time never passes.
 */
static void test_large_amounts_kept_large(void **state)
{
	static const char large[] = "{\"cores\":1e300,\"gpus\":1000000000,\"memGb\":1e9,"
				    "\"previstoS\":18446744073709551615,\"prazoS\":1e12}";
	json_t *job = valid_job_json(), *amounts = wire_parse(large, sizeof(large) - 1);
	struct job_spec spec, again;
	const char *why;

	(void)state;
	json_object_update(job, amounts);
	assert_int_equal(wire_job_decode(job, &spec, &why), 0);
	assert_true(spec.cpus == WIRE_NUMBER_LARGEST && spec.gpus == WIRE_NUMBER_LARGEST);
	assert_true(spec.mem_gb == WIRE_NUMBER_LARGEST);
	assert_true(spec.estimate_s == WIRE_NUMBER_LARGEST);
	assert_true(spec.deadline_s == WIRE_NUMBER_LARGEST);
	json_decref(amounts);
	json_decref(job);
	/* Earlier versions refuse a record with an amount from WIRE_NUMBER_MAX on. */
	assert_true(WIRE_NUMBER_LARGEST < WIRE_NUMBER_MAX);
	job = wire_job_encode(&spec);
	assert_int_equal(wire_job_decode(job, &again, &why), 0);
	assert_true(again.deadline_s == WIRE_NUMBER_LARGEST);
	wire_job_free(&spec);
	wire_job_free(&again);
	json_decref(job);
}

static void test_missing_fields_refused(void **state)
{
	static const char *const required[] = {
	    "uid",     "naipe",	  "grupo",     "feitio", "vez",	    "partes",
	    "cores",   "gpus",	  "memGb",     "molde",	 "pullGb",  "together",
	    "scatter", "avulsas", "previstoS", "marcoS", "gravarS",
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(required); i++)
		failures += count_mismatch(required[i], accepted_without(required[i]), false);
	assert_int_equal(failures, 0);
}

static void test_optional_fields_may_be_missing(void **state)
{
	static const char *const optional[] = {"feitiosMaquina", "praca", "prazoS"};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(optional); i++)
		failures += count_mismatch(optional[i], accepted_without(optional[i]), true);
	assert_int_equal(failures, 0);
}

static void test_decoded_job_encodes_to_the_same(void **state)
{
	json_t *original = valid_job_json(), *encoded, *encoded_again;
	struct job_spec spec, spec_again;
	const char *why;

	(void)state;
	assert_int_equal(wire_job_decode(original, &spec, &why), 0);
	encoded = wire_job_encode(&spec);
	assert_int_equal(wire_job_decode(encoded, &spec_again, &why), 0);
	encoded_again = wire_job_encode(&spec_again);
	assert_true(json_equal(encoded, encoded_again));
	wire_job_free(&spec);
	wire_job_free(&spec_again);
	json_decref(original);
	json_decref(encoded);
	json_decref(encoded_again);
}

#define MANY_TYPES 100

/* The list of machine types that a job allows is not bounded: none may be lost. */
static void test_many_machine_types(void **state)
{
	json_t *job = valid_job_json();
	struct job_spec spec;
	const char *why;

	(void)state;
	json_object_set_new(job, W_MACHINE_TYPES, numbered_names(MANY_TYPES));
	assert_int_equal(wire_job_decode(job, &spec, &why), 0);
	assert_int_equal(spec.types.count, MANY_TYPES);
	assert_true(name_list_has(&spec.types, "name-99"));
	assert_false(name_list_has(&spec.types, "name-100"));
	wire_job_free(&spec);
	json_decref(job);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_unknown_field_ignored),
	    cmocka_unit_test(test_wrong_values_refused),
	    cmocka_unit_test(test_unreadable_values_refused),
	    cmocka_unit_test(test_spellings_accepted),
	    cmocka_unit_test(test_large_amounts_kept_large),
	    cmocka_unit_test(test_missing_fields_refused),
	    cmocka_unit_test(test_optional_fields_may_be_missing),
	    cmocka_unit_test(test_decoded_job_encodes_to_the_same),
	    cmocka_unit_test(test_many_machine_types),
	};

	return cmocka_run_group_tests_name("job_json", tests, NULL, NULL);
}
