/*
 * Allocation functions that never return NULL: the process aborts if memory runs out. Handling that
 * failure would gain nothing, since another controller can take over at any moment and a controller
 * has no state of its own that is worth saving. The caller owns the returned memory and frees it
 * with free().
 */
#ifndef PLOVERLOFT_XALLOC_H
#define PLOVERLOFT_XALLOC_H

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

/* Returns `memory`, the result of an allocation. Aborts the process if it is NULL. */
static inline void *xalloc_checked(void *memory)
{
	if (!memory)
		abort();
	return memory;
}

/* Allocates `size` bytes, not initialised. */
static inline void *xmalloc(size_t size)
{
	return xalloc_checked(malloc(size ? size : 1));
}

/* Allocates an array of `count` elements of `size` bytes each, all zero. */
static inline void *xcalloc(size_t count, size_t size)
{
	return xalloc_checked(calloc(count ? count : 1, size));
}

/* Resizes an array to `count` elements of `size` bytes each. New elements are not initialised. */
static inline void *xreallocarray(void *array, size_t count, size_t size)
{
	return xalloc_checked(reallocarray(array, count ? count : 1, size));
}

/* Copies the first `len` bytes of the text, or all of it if it is shorter, and terminates the copy.
 */
static inline char *xstrndup(const char *text, size_t len)
{
	return (char *)xalloc_checked(strndup(text, len));
}

/* Copies the text. */
static inline char *xstrdup(const char *text)
{
	return (char *)xalloc_checked(strdup(text));
}

#endif
