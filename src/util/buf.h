/*
 * A growable byte buffer: appended at the back, consumed from the front. An all-zero `struct buf`
 * is empty and holds no memory; buf_free() brings it back to that. Running out of memory ends the
 * process (see util/xalloc.h), so appending cannot fail.
 */
#ifndef PLOVERLOFT_BUF_H
#define PLOVERLOFT_BUF_H

#include <stddef.h>

struct buf {
	char *data; /* allocation of `capacity` bytes, owned by the buffer */
	size_t start;
	size_t len; /* bytes of contents, from data + start */
	size_t capacity;
};

/* Appends a copy of `len` bytes. */
void buf_add(struct buf *buf, const void *bytes, size_t len);

/* Appends formatted text, without its terminating NUL. */
void buf_addf(struct buf *buf, const char *format, ...) __attribute__((format(printf, 2, 3)));

/*
 * Makes room for `len` more bytes and returns where they go: behind the contents. The caller writes
 * there and adds what it wrote to buf->len. Pointers into the buffer from before become invalid.
 */
char *buf_room(struct buf *buf, size_t len);

/* Consumes `len` bytes, at most buf->len, from the front. */
void buf_drop(struct buf *buf, size_t len);

/* Frees the memory and leaves the buffer empty and usable. */
void buf_free(struct buf *buf);

/* The contents: buf->len bytes, not terminated. Valid until the next change of the buffer. */
static inline char *buf_at(const struct buf *buf)
{
	return buf->data + buf->start;
}

#endif
