#include <time.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"

void
jh_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

bool
jh_cond_wait_until(
    pthread_cond_t *cond, pthread_mutex_t *lock, uint64_t deadline)
{
	struct timespec ts = {(time_t)(deadline / JH_USEC_PER_SEC),
	    (long)(deadline % JH_USEC_PER_SEC) * 1000};

	return pthread_cond_timedwait(cond, lock, &ts) == 0;
}

pthread_t
jh_thread_create(const char *name, void *(*fn)(void *), void *arg)
{
	pthread_t thread;

	/* A daemon cannot work without its threads. */
	if (pthread_create(&thread, NULL, fn, arg) != 0)
		g_error("cannot create the thread \"%s\"", name);
	pthread_setname_np(thread, name);
	return thread;
}
