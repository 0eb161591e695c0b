#ifndef TEST_POISON_SERVICE_FIXTURE_H
#define TEST_POISON_SERVICE_FIXTURE_H

/*
 * A plain call that crashes the workers of a service without a model, which has
 * three: no response head is there before the crash. It comes again under new
 * ids at all routers, beside sound calls.
 */

#define POISON_AGAIN "/again/poison"
#define POISON_ONCE "/once/poison"

/* Most copies of the call at a time. */
#define POISON_SERVICE_COPIES 3

/* Starts routers, and workers that crash this long after such a call came. */
void poison_service_create(const char *crash_path, unsigned int work_msec);
int poison_service_tear_down(void **state);
/*
 * Sends copies of the call until the rule BUDGET has counted its arrivals, and
 * checks them and the sound calls beside it.
 */
void poison_service_check(const char *path, unsigned int copies);

#endif
