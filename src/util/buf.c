#include "util/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Room for `want` bytes behind the contents. Out of memory ends the process: it is restarted. */
char *buf_room(struct buf *b, size_t want)
{
	if (b->off && (b->len == 0 || b->off + b->len + want > b->cap)) {
		if (b->len)
			memmove(b->data, b->data + b->off, b->len);
		b->off = 0;
	}
	if (b->len + want > b->cap) {
		size_t cap = b->cap ? b->cap : 256;

		while (cap < b->len + want)
			cap *= 2;
		b->data = realloc(b->data, cap);
		if (!b->data)
			abort();
		b->cap = cap;
	}
	return b->data + b->off + b->len;
}

void buf_add(struct buf *b, const void *data, size_t len)
{
	if (!len)
		return;
	memcpy(buf_room(b, len), data, len);
	b->len += len;
}

void buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	va_start(ap, fmt);
	vsnprintf(buf_room(b, (size_t)n + 1), (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->len += (size_t)n;
}

void buf_drop(struct buf *b, size_t len)
{
	b->off += len;
	b->len -= len;
	if (!b->len)
		b->off = 0;
}

void buf_free(struct buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}
