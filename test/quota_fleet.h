#ifndef TEST_QUOTA_FLEET_H
#define TEST_QUOTA_FLEET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A fleet of routers in virtual time that share one quota, beside a central
 * bucket with the same arrivals.
 */
struct quota_fleet_spec {
	unsigned int routers, used; /* used: that clients reach, at first */
	bool moves; /* clients use another router in each second */
	double rate, burst; /* of the quota */
	double calm, peak; /* demand as a part of the rate */
	double peak_from, peak_to; /* seconds */
	double loss; /* share of datagrams */
	double cut_from, cut_to; /* a third of the routers is on its own */
	double kill_at; /* half of the routers restarts; 0: none */
	double drift; /* of the clock rates, in proportion */
	double lower_at; /* the quota is halved; 0: never */
	double max_cost; /* 0: 55,000 */
	bool half; /* half of the routers is cut off */
};

struct quota_fleet_result {
	double most; /* in a window, as a part of the bound */
	double used; /* admitted during the peak, as a part of the rate */
	double ideal; /* the same of a central bucket */
	double debt; /* largest, seconds of the rate */
	double refused; /* share of all requests, retries included */
	double ideal_refused;
	double wait; /* longest, seconds */
};

/* Runs the fleet; the same seed gives the same run. */
struct quota_fleet_result quota_fleet_run(
    const struct quota_fleet_spec *s, uint32_t seed);

#endif
