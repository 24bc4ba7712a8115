/*
 * A generator of the spellings of messages: one job or report as JSON text in many legal ways, its
 * request as HTTP in many legal ways, and texts that are broken in one place. What it draws follows
 * from its seed.
 */
#ifndef PLOVERLOFT_SPELLING_H
#define PLOVERLOFT_SPELLING_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "util/buf.h"

/* The state of the generator, as of erand48. */
struct spelling {
	unsigned short seed[3];
};

/* Returns a random number from 0 to below `count`. */
size_t spelling_draw(struct spelling *spelling, size_t count);

/* Appends the object as JSON: its members in random order, each number, text and blank spelled at
 * random, and unknown members of any kind between them. Its members are scalars and lists of them.
 */
void spelling_add_object(struct spelling *spelling, struct buf *out, const json_t *object);

/* Appends a request that posts the body to the path: headers, target and framing at random. */
void spelling_add_request(struct spelling *spelling, struct buf *out, const char *path,
			  const struct buf *body);

/* Appends the compact text of the object, broken in one place so that it is not JSON. */
void spelling_add_broken(struct spelling *spelling, struct buf *out, const json_t *object);

/* Appends an ordinary request that posts the body to the path. */
void spelling_add_plain_request(struct buf *out, const char *path, const struct buf *body);

#endif
