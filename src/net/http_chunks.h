/* Decodes the chunked bodies of HTTP/1.1 messages (RFC 9112, section 7.1). */
#ifndef PLOVERLOFT_HTTP_CHUNKS_H
#define PLOVERLOFT_HTTP_CHUNKS_H

#include <stddef.h>

#include "net/http.h"

/*
 * Decodes the complete chunks of a body in place, so that each byte is decoded once however the
 * body is split. `body` has the `*len` bytes that were received after the head: first the
 * `*decoded` bytes (0 in the first call) that earlier calls decoded, then chunks. `*decoded` grows
 * by the bytes that were decoded, and `*len` shrinks by those that were removed.
 *
 * HTTP_OK: the body is complete and has `*decoded` bytes. What follows belongs to the next message.
 * HTTP_INCOMPLETE: more has to be received. HTTP_BAD: not a chunked body. HTTP_TOO_LARGE: the body
 * has more than `max_body` bytes. HTTP_HEAD_TOO_LARGE: its trailer exceeds HTTP_HEAD_MAX.
 */
enum http_result http_chunks_decode(char *body, size_t *len, size_t *decoded, size_t max_body);

#endif
