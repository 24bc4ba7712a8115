/* The clocks, in seconds. Times named `..._at` in src/net are those of net_now(). */
#ifndef PLOVERLOFT_CLOCK_H
#define PLOVERLOFT_CLOCK_H

/* The monotonic clock: for durations and deadlines of this process; its zero means nothing. */
double net_now(void);

/* The wall clock, since 1970: comparable between machines as far as their clocks agree. */
double net_wall(void);

#endif
