/*
 * A growable byte buffer: bytes are appended at the end and consumed from the front. An all-zero
 * `struct buf` is an empty buffer without memory; buf_free() returns a buffer to that state.
 * Appending cannot fail, since the process ends if memory runs out (see util/xalloc.h).
 */
#ifndef PLOVERLOFT_BUF_H
#define PLOVERLOFT_BUF_H

#include <stddef.h>

struct buf {
	char *data;	 /* allocated memory, owned */
	size_t start;	 /* offset of the contents in `data`; the bytes before were consumed */
	size_t len;	 /* bytes of the contents */
	size_t capacity; /* bytes allocated for `data` */
};

/* Appends a copy of `len` bytes to the contents. */
void buf_add(struct buf *buf, const void *bytes, size_t len);

/* Appends formatted text, without its terminating NUL, to the contents. */
void buf_addf(struct buf *buf, const char *format, ...) __attribute__((format(printf, 2, 3)));

/*
 * Makes space for `len` more bytes and returns a pointer to it, just after the contents. The caller
 * writes to the space and adds the number of written bytes to buf->len. Earlier pointers into the
 * buffer become invalid.
 */
char *buf_reserve(struct buf *buf, size_t len);

/* Removes the first `len` bytes of the contents. `len` is at most buf->len. */
void buf_consume(struct buf *buf, size_t len);

/* Frees the memory of the buffer. The buffer is empty afterwards and can be used again. */
void buf_free(struct buf *buf);

/* The contents: buf->len bytes without a terminating NUL. The pointer is valid until the buffer
 * changes. */
static inline char *buf_contents(const struct buf *buf)
{
	return buf->data + buf->start;
}

#endif
