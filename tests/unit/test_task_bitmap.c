/* The text form of the bits that say which tasks of a job are done. */
#include "support.h"

#include <stdlib.h>
#include <string.h>

#include "core/model/task_bitmap.h"

#define BITS_MAX 512
#define BITS_STEP 7 /* from one number of bits to the next */
#define SHARE_SET 0.4

static void set_at_random(uint8_t *bits, uint32_t count, unsigned short seed[3])
{
	for (uint32_t k = 0; k < count; k++)
		if (erand48(seed) < SHARE_SET)
			bits[k / 8] |= (uint8_t)(1u << (k % 8));
}

static void test_encoded_bits_decode_to_the_same(void **state)
{
	unsigned short seed[3] = {5, 6, 7};
	int wrong = 0;

	(void)state;
	for (uint32_t count = 1; count <= BITS_MAX; count += BITS_STEP) {
		uint8_t bits[BITS_MAX / 8] = {0}, decoded[BITS_MAX / 8] = {0};
		char *text;

		set_at_random(bits, count, seed);
		text = bits_encode(bits, count);
		wrong += row_differs(text, bits_decode(text, decoded, count), 0);
		wrong += row_differs(text, memcmp(bits, decoded, sizeof(bits)) == 0, true);
		free(text);
	}
	assert_int_equal(wrong, 0);
}

static void test_malformed_text_refused(void **state)
{
	static const struct {
		const char *name;
		const char *text;
	} cases[] = {
	    {"letter of no value", "!"},
	    {"more than 8 bits", "____"},
	};
	int wrong = 0;

	(void)state;
	for (size_t i = 0; i < ARRAY_LENGTH(cases); i++) {
		uint8_t decoded[BITS_MAX / 8] = {0};

		wrong +=
		    row_differs(cases[i].name, bits_decode(cases[i].text, decoded, 8) != 0, true);
	}
	assert_int_equal(wrong, 0);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_encoded_bits_decode_to_the_same),
	    cmocka_unit_test(test_malformed_text_refused),
	};

	return cmocka_run_group_tests_name("task_bitmap", tests, NULL, NULL);
}
