/* Measures the processor time and counts the memory allocations of this process. */
#include <stddef.h>
#include <stdio.h>
#include <time.h>

#include "bench/bench.h"

#define US_PER_S 1e6

/*
 * Allocations since the start of the process, including those of libraries. They are not counted
 * under AddressSanitizer, which replaces the allocation functions itself.
 */
static unsigned long long allocations;

#ifndef __SANITIZE_ADDRESS__
/* The C library's names for its functions, under which the replacements below call them. */
/* NOLINTBEGIN(bugprone-reserved-identifier) */
void *__libc_malloc(size_t size);
void *__libc_calloc(size_t count, size_t size);
void *__libc_realloc(void *memory, size_t size);
/* NOLINTEND(bugprone-reserved-identifier) */

void *malloc(size_t size)
{
	allocations++;
	return __libc_malloc(size);
}

void *calloc(size_t count, size_t size)
{
	allocations++;
	return __libc_calloc(count, size);
}

void *realloc(void *memory, size_t size)
{
	allocations++;
	return __libc_realloc(memory, size);
}
#endif

static double cpu_s(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

struct measure measure_begin(void)
{
	struct measure begin = {
	    .cpu_s = cpu_s(),
	    .allocations = allocations,
	};

	return begin;
}

double measure_end(const struct measure *begin, const char *what, long count)
{
	double us = (cpu_s() - begin->cpu_s) * US_PER_S;
	double each = (double)(allocations - begin->allocations) / (double)count;

	printf("%-46s %8ld times %9.1f us %8.1f allocations each\n", what, count,
	       us / (double)count, each);
	return each;
}
