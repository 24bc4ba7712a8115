/* Comparisons for qsort. */
#ifndef PLOVERLOFT_COMPARE_H
#define PLOVERLOFT_COMPARE_H

/* Less than, equal to or greater than 0, as qsort expects: the smaller number comes first. */
static inline int compare_numbers(double a, double b)
{
	if (a == b)
		return 0;
	return a < b ? -1 : 1;
}

#endif
