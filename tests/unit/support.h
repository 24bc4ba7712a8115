/*
 * What all unit tests share: cmocka with the headers it needs, checks of table rows, JSON values.
 * Include it first: cmocka.h builds on the standard headers named here.
 */
#ifndef PLOVERLOFT_UNIT_SUPPORT_H
#define PLOVERLOFT_UNIT_SUPPORT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <jansson.h>

#define ARRAY_LENGTH(array) (sizeof(array) / sizeof((array)[0]))

/*
 * 1 if the value of a table's row is not the expected one, 0 otherwise; the difference is printed.
 * A test adds these up and asserts that the sum is 0, so that every failing row is reported.
 */
int row_differs(const char *row, long long value, long long expected);

/* The JSON array ["name-0", "name-1", ...], which the caller owns. */
json_t *numbered_names(int count);

#endif
