/* The probability with which share switching moves a slot from a job with more slots to one with
 * fewer. */
#include "support.h"

#include "core/scheduling/share_switching.h"

static void test_zero_towards_as_many_slots_or_more(void **state)
{
	(void)state;
	assert_true(share_switch_probability(3, 3) == 0);
	assert_true(share_switch_probability(4, 3) == 0);
}

static void test_zero_towards_no_slots(void **state)
{
	(void)state;
	assert_true(share_switch_probability(0, 5) == 0);
}

static void test_one_across_a_wide_gap(void **state)
{
	(void)state;
	assert_true(share_switch_probability(1, 5) == 1);
}

/* (16 - 9) / 24 */
static void test_formula_across_a_narrow_gap(void **state)
{
	double probability = share_switch_probability(3, 4);

	(void)state;
	assert_true(probability > 0.2916);
	assert_true(probability < 0.2917);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_zero_towards_as_many_slots_or_more),
	    cmocka_unit_test(test_zero_towards_no_slots),
	    cmocka_unit_test(test_one_across_a_wide_gap),
	    cmocka_unit_test(test_formula_across_a_narrow_gap),
	};

	return cmocka_run_group_tests_name("share_switching", tests, NULL, NULL);
}
