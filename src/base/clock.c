#include <time.h>

#include <jacinthhill/clock.h>

static uint64_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * JH_USEC_PER_SEC +
	       (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
jh_now(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

uint64_t
jh_boot_now(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

uint64_t
jh_wall_now(void)
{
	return read_clock(CLOCK_REALTIME);
}
