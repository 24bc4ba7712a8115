/*
 * Tests of the probability with which share switching gives a slot of one job to another. They
 * guard against slots that go to a job with as many slots or more, or to a job that has none, and
 * against a wrong rate, which would keep the jobs' slots unequal.
 */
#include "support.h"

#include "core/scheduling/share_switching.h"

static void test_zero_if_target_has_as_many_slots_or_more(void **state)
{
	(void)state;
	assert_true(share_switch_probability(3, 3) == 0);
	assert_true(share_switch_probability(4, 3) == 0);
}

static void test_zero_if_target_has_no_slots(void **state)
{
	(void)state;
	assert_true(share_switch_probability(0, 5) == 0);
}

static void test_one_if_counts_differ_widely(void **state)
{
	(void)state;
	assert_true(share_switch_probability(1, 5) == 1);
}

/* (m_b^2 - m_a^2) / (2 m_a m_b) = (16 - 9) / 24 = 0.29166... */
static void test_formula_if_counts_are_close(void **state)
{
	double probability = share_switch_probability(3, 4);

	(void)state;
	assert_true(probability > 0.2916);
	assert_true(probability < 0.2917);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_zero_if_target_has_as_many_slots_or_more),
	    cmocka_unit_test(test_zero_if_target_has_no_slots),
	    cmocka_unit_test(test_one_if_counts_differ_widely),
	    cmocka_unit_test(test_formula_if_counts_are_close),
	};

	return cmocka_run_group_tests_name("share_switching", tests, NULL, NULL);
}
