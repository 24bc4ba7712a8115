/*
 * Helpers that all unit tests share: cmocka with the headers it needs, comparison of table rows,
 * and JSON test data. Include this header first: cmocka.h requires the standard headers included
 * here.
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
 * Compares the result of one row of a test's table with the expected one. Returns 0 if they are
 * equal; otherwise prints the row's name with both values and returns 1. A test adds up the results
 * of all rows and asserts that the sum is 0, so that every failing row is printed.
 */
int count_mismatch(const char *row, long long value, long long expected);

/* Returns the JSON array ["name-0", "name-1", ...] of `count` strings, which the caller owns. */
json_t *numbered_names(int count);

#endif
