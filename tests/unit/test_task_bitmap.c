/*
 * Tests of the text form of a job's task bitmap in the records. They guard against bits that are
 * lost or moved between encoding and decoding: tasks that are done would run again, or tasks would
 * never run. A malformed text must be refused instead of setting bits of tasks that the job does
 * not have.
 */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "core/model/task_bitmap.h"

#define BITS_MAX 512
#define BITS_STEP 7   /* difference between one tested number of bits and the next */
#define SET_SHARE 0.4 /* share of the bits that are set */

/* Sets each of the first `count` bits with the probability SET_SHARE. */
static void set_random_bits(uint8_t *bits, uint32_t count, unsigned short seed[3])
{
	for (uint32_t k = 0; k < count; k++)
		if (erand48(seed) < SET_SHARE)
			bits[k / 8] |= (uint8_t)(1u << (k % 8));
}

static void test_encoded_bits_decode_to_the_same(void **state)
{
	unsigned short seed[3] = {5, 6, 7};
	int failures = 0;

	(void)state;
	for (uint32_t count = 1; count <= BITS_MAX; count += BITS_STEP) {
		uint8_t bits[BITS_MAX / 8] = {0}, decoded[BITS_MAX / 8] = {0};
		char *text;

		set_random_bits(bits, count, seed);
		text = bits_encode(bits, count);
		failures += count_mismatch(text, bits_decode(text, decoded, count), 0);
		failures += count_mismatch(text, memcmp(bits, decoded, sizeof(bits)) == 0, true);
		free(text);
	}
	assert_int_equal(failures, 0);
}

static void test_malformed_text_refused(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} cases[] = {
	    {"character outside the alphabet", "!"},
	    {"bits set beyond the first 8", "____"},
	};
	int failures = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		uint8_t decoded[BITS_MAX / 8] = {0};

		failures += count_mismatch(cases[i].name,
					   bits_decode(cases[i].text, decoded, 8) != 0, true);
	}
	assert_int_equal(failures, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_encoded_bits_decode_to_the_same),
	    cmocka_unit_test(test_malformed_text_refused),
	};

	return cmocka_run_group_tests_name("task_bitmap", tests, NULL, NULL);
}
