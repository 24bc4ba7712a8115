/* Tests that no message is refused, or loses entries, for what a field that nobody reads holds. */
#include "support.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

/* Bytes of a message of this test, with its NUL. */
#define MESSAGE_SIZE 65536
#define NESTED_ARRAYS 28900

/* Members of an object that are legal by RFC 8259, though a program can't keep each of them. */
static const char *const unread_members[] = {
    "\"x\":18446744073709551615",
    "\"x\":-18446744073709551616",
    "\"x\":123456789012345678901234567890.5e-7",
    "\"x\":1e400",
    "\"x\":-1E+400",
    "\"x\":\"a\\u0000b\"",
    "\"x\":\"\\ud800\"",
    "\"x\":\"\\udc00\\ud83d\"",
    "\"x\":\"\\ud800\\u0041\"",
    "\"x\\u0000\":1",
    "\"\\ud800\":[1]",
    "\"\":{\"\":null}",
    "\"x\":{\"y\":1,\"y\":2}",
    "\"x\":1,\"x\":[2],\"x\":{\"x\":{}}",
    "\"gr\\u00f6\\u00dfe\":\"\\ud83d\\ude00\\/\"",
    "\"x\" : [ { } ,\t[ ] ,\r\n true , false , null , -0 , 0e1 , 1E-400 ]",
};

typedef bool accepts_message(const char *text, size_t len);

/* A kind of message, as the text before and after the member under test. */
struct message {
	const char *name;
	const char *before;
	const char *after;
	accepts_message *accepts;
};

static bool accepts_job(const char *text, size_t len)
{
	json_t *object = wire_parse(text, len);
	struct job_spec spec;
	const char *why;
	bool accepted = !wire_job_decode(object, &spec, &why) && spec.task_count == 3;

	wire_job_free(&spec);
	json_decref(object);
	return accepted;
}

static bool accepts_report(const char *text, size_t len)
{
	struct report report;
	bool accepted = !wire_report_decode(text, len, &report) && report.task_count == 1;

	wire_report_free(&report);
	return accepted;
}

static bool accepts_catalog(const char *text, size_t len)
{
	json_t *object = wire_parse(text, len);
	struct machine_type *types;
	size_t count = 0;

	if (!wire_machine_types_decode(object, &types, &count))
		wire_machine_types_free(types, count);
	json_decref(object);
	return count == 1;
}

static bool accepts_machine_page(const char *text, size_t len)
{
	struct listed_machine *machines;
	size_t count = 0;
	bool more;

	if (!wire_machine_page_decode(text, len, &machines, &count, &more))
		free(machines);
	return count == 1;
}

static bool accepts_rental_answer(const char *text, size_t len)
{
	char **ids;
	size_t count = 0;

	if (wire_rental_answer_decode(text, len, &ids, &count))
		return false;
	for (size_t i = 0; i < count; i++)
		free(ids[i]);
	free(ids);
	return count == 1;
}

static void count_item(void *context, const struct kv_item *item)
{
	*(int *)context += item->value && item->version == 5;
}

static bool accepts_range(const char *text, size_t len)
{
	json_t *object = wire_parse(text, len);
	int items = 0;

	wire_items_for_each(object, count_item, &items);
	json_decref(object);
	return items == 1;
}

static bool accepts_commit_answer(const char *text, size_t len)
{
	json_t *object = wire_parse(text, len);
	bool accepted = wire_revision(object) == 9;

	json_decref(object);
	return accepted;
}

#define JOB_FIELDS                                                                                 \
	"\"uid\":\"job-1\",\"naipe\":\"c\",\"grupo\":\"t\",\"feitio\":\"array\","                  \
	"\"vez\":\"normal\",\"partes\":3,\"cores\":1.0,\"gpus\":0,\"memGb\":2,\"molde\":\"i\","    \
	"\"pullGb\":1,\"together\":false,\"scatter\":false,\"avulsas\":true,\"previstoS\":10,"     \
	"\"marcoS\":0,\"gravarS\":0"
#define REPORT_FIELDS                                                                              \
	"\"poleiro\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","       \
	"\"avulsas\":false,\"turno\":1,\"compasso\":1,\"batuta\":1"
#define REPORT_TASK_FIELDS "\"parte\":\"job-1/0\",\"entrada\":1,\"estado\":\"running\""
#define TYPE_FIELDS "\"label\":\"g\",\"cores\":8,\"memGb\":16,\"hourly\":1,\"pracas\":[\"a\"]"
#define MACHINE_FIELDS                                                                             \
	"\"uid\":\"vm-1\",\"endpoint\":\"a:1\",\"feitioMaquina\":\"g\",\"praca\":\"a\","           \
	"\"avulsas\":true,\"estado\":\"running\",\"ageS\":1"

static const struct message messages[] = {
    {"job, first member", "{", "," JOB_FIELDS "}", accepts_job},
    {"job, last member", "{" JOB_FIELDS ",", "}", accepts_job},
    {"report", "{" REPORT_FIELDS ",", ",\"partes\":[{" REPORT_TASK_FIELDS "}]}", accepts_report},
    {"report's task", "{" REPORT_FIELDS ",\"partes\":[{" REPORT_TASK_FIELDS ",", "}]}",
     accepts_report},
    {"catalog", "{\"feitiosMaquina\":[{" TYPE_FIELDS "}],", "}", accepts_catalog},
    {"machine type", "{\"feitiosMaquina\":[{" TYPE_FIELDS ",", "}]}", accepts_catalog},
    {"list of machines", "{\"poleiros\":[{" MACHINE_FIELDS "}],\"truncated\":false,", "}",
     accepts_machine_page},
    {"listed machine", "{\"poleiros\":[{" MACHINE_FIELDS ",", "}],\"truncated\":false}",
     accepts_machine_page},
    {"answer to a rental", "{\"poleiros\":[\"vm-1\"],", "}", accepts_rental_answer},
    {"range of keys", "{\"entries\":[{\"k\":\"a\",\"data\":{},\"retoque\":5}],", "}",
     accepts_range},
    {"item", "{\"entries\":[{\"k\":\"a\",\"data\":{},\"retoque\":5,", "}]}", accepts_range},
    {"item's value", "{\"entries\":[{\"k\":\"a\",\"retoque\":5,\"data\":{", "}}]}", accepts_range},
    {"event of a watch", "{\"events\":[{\"write\":\"a\",\"data\":{},\"retoque\":5,", "}]}",
     accepts_range},
    {"answer to a commit", "{\"edicao\":9,", "}", accepts_commit_answer},
};

/* Returns 0 if the message is accepted with the member, else prints both and returns 1. */
static int count_refused(const struct message *message, const char *member)
{
	static char text[MESSAGE_SIZE];
	int len = snprintf(text, sizeof(text), "%s%s%s", message->before, member, message->after);

	assert_in_range(len, 1, sizeof(text) - 1);
	if (message->accepts(text, (size_t)len))
		return 0;
	print_error("%s was refused or lost entries with %.60s\n", message->name, member);
	return 1;
}

static void test_legal_members_ignored(void **state)
{
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(messages); i++)
		for (size_t j = 0; j < ARRAY_LENGTH(unread_members); j++)
			failures += count_refused(&messages[i], unread_members[j]);
	assert_int_equal(failures, 0);
}

/* Deep nesting must cost neither the message nor the stack. */
static void test_deep_nesting_ignored(void **state)
{
	static char member[4 + 2 * NESTED_ARRAYS + 1] = "\"x\":";
	int failures = 0;

	(void)state;
	memset(member + 4, '[', NESTED_ARRAYS);
	memset(member + 4 + NESTED_ARRAYS, ']', NESTED_ARRAYS);
	for (size_t i = 0; i < ARRAY_LENGTH(messages); i++)
		failures += count_refused(&messages[i], member);
	assert_int_equal(failures, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_legal_members_ignored),
	    cmocka_unit_test(test_deep_nesting_ignored),
	};

	return cmocka_run_group_tests_name("refused_for_unread_field", tests, NULL, NULL);
}
