/*
 * Bitmaps with one bit per task of a job, and their form as text in the records: base64 without
 * padding, cut behind the last set bit.
 */
#ifndef PLOVERLOFT_TASK_BITMAP_H
#define PLOVERLOFT_TASK_BITMAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes of a bitmap of so many tasks: one more than they fill. */
size_t task_bitmap_bytes(uint32_t task_count);
/* Whether the task's bit is set. */
bool task_bit_test(const uint8_t *bits, uint32_t task);
/* Sets the task's bit. */
void task_bit_set(uint8_t *bits, uint32_t task);
/* Clears the task's bit. */
void task_bit_clear(uint8_t *bits, uint32_t task);

/* The first `nbits` bits as text, which the caller frees. */
char *bits_encode(const uint8_t *bits, uint32_t nbits);
/*
 * Sets in `bits` those that the text names, and leaves the others as they are. -1: the text has a
 * character that is not of the alphabet, or names a bit from `nbits` on.
 */
int bits_decode(const char *text, uint8_t *bits, uint32_t nbits);

#endif
