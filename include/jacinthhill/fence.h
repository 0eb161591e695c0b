#ifndef JACINTHHILL_FENCE_H
#define JACINTHHILL_FENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The highest fencing token seen for each lease. An order with a lower token
 * comes from a former holder of the lease and is rejected. Not thread safe.
 */
struct jh_fence;

/*
 * Remembers the tokens of up to max_leases leases. At the limit a further lease
 * is rejected, because forgetting one would admit orders of its former holders.
 */
struct jh_fence *jh_fence_create(size_t max_leases);
void jh_fence_destroy(struct jh_fence *f);

/* Whether an order with this token may run; if so, the token is recorded. */
bool jh_fence_admit(struct jh_fence *f, const char *lease, uint64_t token);
/* The highest token recorded; 0: none. */
uint64_t jh_fence_highest(const struct jh_fence *f, const char *lease);

#endif
