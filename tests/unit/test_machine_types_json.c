/*
 * Tests of decoding the cloud's catalog of machine types. They guard against a decoder with room
 * for a fixed number of zones, which would refuse a larger list or lose zones.
 */
#include "support.h"

#include "wire/names.h"
#include "wire/wire.h"

#define MANY_ZONES 100

/* The list of zones of a machine type is not bounded: none may be lost. */
static void test_many_zones(void **state)
{
	json_t *catalog =
	    json_pack("{s:[{s:s,s:i,s:i,s:i,s:o}]}", W_MACHINE_TYPES, W_TYPE_NAME, "g", W_CPUS, 8,
		      W_MEMORY, 16, W_PRICE, 1, W_ZONES, numbered_names(MANY_ZONES));
	struct machine_type *types;
	size_t count = 0;

	(void)state;
	assert_int_equal(wire_machine_types_decode(catalog, &types, &count), 0);
	assert_int_equal(count, 1);
	assert_int_equal(types[0].zones.count, MANY_ZONES);
	wire_machine_types_free(types, count);
	json_decref(catalog);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_many_zones),
	};

	return cmocka_run_group_tests_name("machine_types_json", tests, NULL, NULL);
}
