/* Done bits as text: base64 without padding, cut behind the last set bit. */
#include <stdlib.h>
#include <string.h>

#include "core/state.h"
#include "util/xalloc.h"

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

char *bits_encode(const uint8_t *bits, uint32_t nbits)
{
	size_t bytes = (nbits + 7) / 8, n = 0;
	char *out;

	while (bytes && !bits[bytes - 1])
		bytes--;
	out = xmalloc(bytes * 4 / 3 + 4);
	for (size_t bit = 0; bit < bytes * 8; bit += 6) {
		unsigned v = 0;

		for (size_t k = 0; k < 6 && bit + k < bytes * 8; k++)
			v |= (unsigned)(bits[(bit + k) / 8] >> ((bit + k) % 8) & 1) << k;
		out[n++] = alphabet[v];
	}
	out[n] = 0;
	return out;
}

int bits_decode(const char *s, uint8_t *bits, uint32_t nbits)
{
	size_t bit = 0;

	for (; *s; s++) {
		const char *p = strchr(alphabet, *s);

		if (!p)
			return -1;
		for (int k = 0; k < 6; k++, bit++) {
			if (!((p - alphabet) >> k & 1))
				continue;
			if (bit >= nbits)
				return -1;
			bits[bit / 8] |= (uint8_t)(1u << (bit % 8));
		}
	}
	return 0;
}
