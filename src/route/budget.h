#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * This process's share of a retry budget for all processes. In any window, a
 * service may get a number of retries for each of its requests and a fixed
 * number on top, which is divided among the processes. No I/O; times are in
 * microseconds.
 */
struct jh_budget;

struct jh_budget_spec {
	double ratio; /* retries for each request */
	double slack; /* retries a window on top, for all processes */
	uint64_t window; /* microseconds */
};

struct jh_budget *jh_budget_create(const struct jh_budget_spec *spec);
void jh_budget_destroy(struct jh_budget *b);

/* Sets the limits for later retries; the window stays. */
void jh_budget_set(struct jh_budget *b, double ratio, double slack);

/* Counts a request to the service. */
void jh_budget_request(struct jh_budget *b, uint64_t now, const char *service);
/* Takes one retry; returns false if this process's share is used up. */
bool jh_budget_take(struct jh_budget *b, uint64_t now, const char *service,
    unsigned int processes);

#endif
