/* Comparison of numbers in functions that are passed to qsort. */
#ifndef PLOVERLOFT_COMPARE_H
#define PLOVERLOFT_COMPARE_H

/* Returns -1, 0 or 1 if `a` is less than, equal to or greater than `b`: this sorts ascending. */
static inline int compare_numbers(double a, double b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

#endif
