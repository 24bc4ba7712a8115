/*
 * Implements the growable byte buffer. Consuming only advances `start`; the contents are moved to
 * the front of the memory when there is no space behind them, and the memory grows when that is not
 * enough.
 */
#include "util/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/xalloc.h"

#define BUF_CAPACITY_MIN 256 /* bytes of the first allocation: enough for the head of a message */

/* Moves the contents to the start of the buffer's memory. */
static void move_to_front(struct buf *buf)
{
	if (buf->len)
		memmove(buf->data, buf->data + buf->start, buf->len);
	buf->start = 0;
}

/* Enlarges the buffer's memory to at least `needed` bytes by doubling it. */
static void grow(struct buf *buf, size_t needed)
{
	size_t capacity = buf->capacity ? buf->capacity : BUF_CAPACITY_MIN;

	while (capacity < needed)
		capacity *= 2;
	buf->data = xreallocarray(buf->data, capacity, 1);
	buf->capacity = capacity;
}

char *buf_reserve(struct buf *buf, size_t len)
{
	if (buf->start && (buf->len == 0 || buf->start + buf->len + len > buf->capacity))
		move_to_front(buf);
	if (buf->len + len > buf->capacity)
		grow(buf, buf->len + len);
	return buf->data + buf->start + buf->len;
}

void buf_add(struct buf *buf, const void *bytes, size_t len)
{
	if (!len)
		return;
	memcpy(buf_reserve(buf, len), bytes, len);
	buf->len += len;
}

void buf_addf(struct buf *buf, const char *format, ...)
{
	va_list arguments;
	int len;

	va_start(arguments, format);
	len = vsnprintf(NULL, 0, format, arguments);
	va_end(arguments);
	if (len <= 0)
		return;
	va_start(arguments, format);
	vsnprintf(buf_reserve(buf, (size_t)len + 1), (size_t)len + 1, format, arguments);
	va_end(arguments);
	buf->len += (size_t)len;
}

void buf_consume(struct buf *buf, size_t len)
{
	buf->start += len;
	buf->len -= len;
	if (!buf->len)
		buf->start = 0;
}

void buf_free(struct buf *buf)
{
	free(buf->data);
	memset(buf, 0, sizeof(*buf));
}
