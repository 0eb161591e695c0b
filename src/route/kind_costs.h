#ifndef ROUTE_KIND_COSTS_H
#define ROUTE_KIND_COSTS_H

/*
 * Mean cost of the requests of each kind; a route is a kind. No I/O.
 */
struct jh_kind_costs;

struct jh_kind_costs *jh_kind_costs_create(void);
void jh_kind_costs_destroy(struct jh_kind_costs *k);

/* Counts a request of the kind; returns the moving average of its kind. */
double jh_kind_costs_add(
    struct jh_kind_costs *k, const char *kind, double cost);

#endif
