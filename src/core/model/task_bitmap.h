/*
 * Bitmaps with one bit per task of a job, and their text form in the records. Each character of the
 * text holds the bits of six tasks, the first task's in the lowest bit, in the alphabet of
 * base64url, without padding. The text covers the bitmap up to its last byte that is not zero.
 */
#ifndef PLOVERLOFT_TASK_BITMAP_H
#define PLOVERLOFT_TASK_BITMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The size in bytes of a bitmap for `task_count` tasks: one byte more than the bits of these tasks
 * need. */
size_t task_bitmap_bytes(uint32_t task_count);
/* True if the task's bit is set. */
bool task_bit_test(const uint8_t *bits, uint32_t task);
/* Sets the task's bit. */
void task_bit_set(uint8_t *bits, uint32_t task);
/* Clears the task's bit. */
void task_bit_clear(uint8_t *bits, uint32_t task);

/* Returns the text form of the first `nbits` bits. The caller frees the text. */
char *bits_encode(const uint8_t *bits, uint32_t nbits);
/*
 * Sets in `bits` the bits that are set in the text, and leaves the other bits as they are. Returns
 * 0, or -1 if the text has a character that is not in the alphabet or sets a bit beyond the first
 * `nbits`.
 */
int bits_decode(const char *text, uint8_t *bits, uint32_t nbits);

#endif
