#include "core/model/task_bitmap.h"

#include <string.h>

#include "util/xalloc.h"

#define BITS_PER_CHARACTER 6

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

size_t task_bitmap_bytes(uint32_t task_count)
{
	return (task_count + 7) / 8 + 1;
}

bool task_bit_test(const uint8_t *bits, uint32_t task)
{
	return bits[task / 8] >> (task % 8) & 1;
}

void task_bit_set(uint8_t *bits, uint32_t task)
{
	bits[task / 8] |= (uint8_t)(1u << (task % 8));
}

void task_bit_clear(uint8_t *bits, uint32_t task)
{
	bits[task / 8] &= (uint8_t) ~(1u << (task % 8));
}

/* The value of the character that holds the bits from index `first` on; bits from index `nbits` on
 * count as 0. */
static unsigned character_value(const uint8_t *bits, size_t first, size_t nbits)
{
	unsigned value = 0;

	for (size_t i = 0; i < BITS_PER_CHARACTER && first + i < nbits; i++)
		value |= (unsigned)(bits[(first + i) / 8] >> ((first + i) % 8) & 1) << i;
	return value;
}

char *bits_encode(const uint8_t *bits, uint32_t nbits)
{
	size_t bytes = (nbits + 7) / 8;
	size_t length = 0;
	char *text;

	while (bytes && !bits[bytes - 1])
		bytes--;
	text = xmalloc(bytes * 4 / 3 + 4);
	for (size_t first = 0; first < bytes * 8; first += BITS_PER_CHARACTER)
		text[length++] = alphabet[character_value(bits, first, bytes * 8)];
	text[length] = 0;
	return text;
}

int bits_decode(const char *text, uint8_t *bits, uint32_t nbits)
{
	size_t bit = 0;

	for (; *text; text++) {
		const char *letter = strchr(alphabet, *text);

		if (!letter)
			return -1;
		for (int i = 0; i < BITS_PER_CHARACTER; i++, bit++) {
			if (!((letter - alphabet) >> i & 1))
				continue;
			if (bit >= nbits)
				return -1;
			bits[bit / 8] |= (uint8_t)(1u << (bit % 8));
		}
	}
	return 0;
}
