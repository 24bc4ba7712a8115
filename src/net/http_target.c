/* Normalises the paths of requests. */
#include "net/http_target.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define ENCODED_LEN 3 /* bytes of a percent-encoded character: "%41" */
#define HEX_BASE 16

/* Returns the character that is percent-encoded at the start of the text, if it is one that needs
 * no encoding (RFC 3986, "unreserved"); else 0. */
static char decode_unreserved(const char *text)
{
	char digits[ENCODED_LEN] = {0};
	int value;

	if (text[0] != '%' || !isxdigit((unsigned char)text[1]) ||
	    !isxdigit((unsigned char)text[2]))
		return 0;
	memcpy(digits, text + 1, ENCODED_LEN - 1);
	value = (int)strtol(digits, NULL, HEX_BASE);
	if (!isascii(value) || !(isalnum(value) || (value && strchr("-._~", value))))
		return 0;
	return (char)value;
}

void http_target_path(const char *target, char *path)
{
	while (*target && *target != '?') {
		char decoded = decode_unreserved(target);

		*path++ = decoded ? decoded : *target;
		target += decoded ? ENCODED_LEN : 1;
	}
	*path = 0;
}
