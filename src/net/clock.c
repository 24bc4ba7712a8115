/* Reads the monotonic clock and the wall clock in seconds. */
#include "net/clock.h"

#include <time.h>

static double read_clock_s(clockid_t clock)
{
	struct timespec time;

	clock_gettime(clock, &time);
	return (double)time.tv_sec + (double)time.tv_nsec * 1e-9;
}

double net_now(void)
{
	return read_clock_s(CLOCK_MONOTONIC);
}

double net_wall_time(void)
{
	return read_clock_s(CLOCK_REALTIME);
}
