/* Checks of table rows. */
#include "support.h"

int row_differs(const char *row, long long value, long long expected)
{
	if (value == expected)
		return 0;
	print_error("%s: got %lld, expected %lld\n", row, value, expected);
	return 1;
}
