#ifndef ROUTE_RETRY_BUDGET_H
#define ROUTE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * This process's share of a retry budget for all processes. In any window, a
 * service may get a number of retries for each of its requests and a fixed
 * number on top, which is divided among the processes. No I/O; times are in
 * microseconds.
 */
struct jh_retry_budget;

struct jh_retry_budget_spec {
	double ratio; /* retries for each request */
	double slack; /* retries a window on top, for all processes */
	uint64_t window; /* microseconds */
};

struct jh_retry_budget *jh_retry_budget_create(
    const struct jh_retry_budget_spec *spec);
void jh_retry_budget_destroy(struct jh_retry_budget *b);

/* Sets the limits for later retries; the window stays. */
void jh_retry_budget_set_limits(
    struct jh_retry_budget *b, double ratio, double slack);

/* Counts a request to the service. */
void jh_retry_budget_add_request(
    struct jh_retry_budget *b, uint64_t now, const char *service);
/* Whether jh_retry_budget_take() would return true. */
bool jh_retry_budget_allows(struct jh_retry_budget *b, uint64_t now,
    const char *service, unsigned int processes);
/* Takes one retry; returns false if this process's share is used up. */
bool jh_retry_budget_take(struct jh_retry_budget *b, uint64_t now,
    const char *service, unsigned int processes);

#endif
