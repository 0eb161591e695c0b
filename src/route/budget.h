#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/*
 * This process's part of a budget for repeats that all processes share: in any
 * window a service may get so many repeats for each of its requests, and some
 * more that the processes divide. Pure; times are microseconds.
 */
struct jh_budget;

struct jh_budget_spec {
	double ratio; /* repeats a request */
	double slack; /* repeats a window beyond that, of all processes */
	uint64_t window; /* microseconds */
};

struct jh_budget *jh_budget_create(const struct jh_budget_spec *spec);
void jh_budget_destroy(struct jh_budget *b);

/* Later repeats are judged by these; the window stays. */
void jh_budget_set(struct jh_budget *b, double ratio, double slack);

/* Counts a request for the service. */
void jh_budget_request(struct jh_budget *b, uint64_t now, const char *service);
/* Draws a repeat; returns false if this process's part is used up. */
bool jh_budget_take(struct jh_budget *b, uint64_t now, const char *service,
    unsigned int processes);

#endif
