/* Helpers that all unit tests share: comparison of table rows, and JSON test data. */
#include "support.h"

int count_mismatch(const char *row, long long value, long long expected)
{
	if (value == expected)
		return 0;
	print_error("%s: got %lld, expected %lld\n", row, value, expected);
	return 1;
}

json_t *numbered_names(int count)
{
	json_t *names = json_array();

	for (int i = 0; i < count; i++)
		json_array_append_new(names, json_sprintf("name-%d", i));
	return names;
}
