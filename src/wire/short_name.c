/* Shortens names. */
#include "wire/short_name.h"

#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#define HASH_DIGITS 16
/* Bytes of a long name's beginning: the rest holds a separator, the hash and a NUL. */
#define BEGINNING_MAX (NAME_MAX_LEN - 1 - HASH_DIGITS - 1)
/* The bits by which a byte inside a character of UTF-8 is known. */
#define UTF8_MASK 0xc0
#define UTF8_CONTINUATION 0x80

/* The bytes of the longest beginning of whole characters that has at most BEGINNING_MAX. */
static int beginning_len(const char *name)
{
	int len = BEGINNING_MAX;

	while (len && ((unsigned char)name[len] & UTF8_MASK) == UTF8_CONTINUATION)
		len--;
	return len;
}

void short_name_copy(char out[NAME_MAX_LEN], const char *name)
{
	size_t len = strlen(name);

	if (len < NAME_MAX_LEN)
		memcpy(out, name, len + 1);
	else
		snprintf(out, NAME_MAX_LEN, "%.*s~%0*llx", beginning_len(name), name, HASH_DIGITS,
			 (unsigned long long)XXH3_64bits(name, len));
}
