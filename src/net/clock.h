/* Reads the clocks in seconds. Times named `..._at` in src/net are values of net_now(). */
#ifndef PLOVERLOFT_CLOCK_H
#define PLOVERLOFT_CLOCK_H

/* The monotonic clock, for durations and deadlines within this process. Its zero point has no
 * meaning. */
double net_now(void);

/* The wall clock: seconds since 1970. Times of two machines can be compared as far as their clocks
 * agree. */
double net_wall_time(void);

#endif
