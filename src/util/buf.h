/* Growable byte buffer; consumed from the front, appended at the back. */
#ifndef PLOVERLOFT_BUF_H
#define PLOVERLOFT_BUF_H

#include <stddef.h>

struct buf {
	char *data;
	size_t off;
	size_t len;
	size_t cap;
};

void buf_add(struct buf *b, const void *data, size_t len);
void buf_addf(struct buf *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
char *buf_room(struct buf *b, size_t want);
void buf_drop(struct buf *b, size_t len);
void buf_free(struct buf *b);

static inline char *buf_at(const struct buf *b)
{
	return b->data + b->off;
}

#endif
