/*
 * Allocation that may not fail: the process ends when memory is out. A controller is replaced by
 * another at any moment, and has no state of its own worth saving, so nothing handles the failure.
 * The caller owns what is returned and frees it with free().
 */
#ifndef PLOVERLOFT_XALLOC_H
#define PLOVERLOFT_XALLOC_H

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

static inline void *xalloc_checked(void *memory)
{
	if (!memory)
		abort();
	return memory;
}

/* `size` bytes, not initialised. */
static inline void *xmalloc(size_t size)
{
	return xalloc_checked(malloc(size ? size : 1));
}

/* An array of `count` elements of `size` bytes each, all zero. */
static inline void *xcalloc(size_t count, size_t size)
{
	return xalloc_checked(calloc(count ? count : 1, size));
}

/* Resizes an array to `count` elements of `size` bytes; new elements are not initialised. */
static inline void *xreallocarray(void *array, size_t count, size_t size)
{
	return xalloc_checked(reallocarray(array, count ? count : 1, size));
}

/* The first `len` bytes of the text, or all of it if it is shorter, with a NUL behind them. */
static inline char *xstrndup(const char *text, size_t len)
{
	return (char *)xalloc_checked(strndup(text, len));
}

static inline char *xstrdup(const char *text)
{
	return (char *)xalloc_checked(strdup(text));
}

#endif
