#ifndef JACINTHHILL_FENCE_H
#define JACINTHHILL_FENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The highest fencing token seen per duty. An order with a lower token comes
 * from a former holder and is refused. Not thread safe.
 */
struct jh_fence;

/*
 * Remembers max_duties. At the limit a further duty is refused, because
 * forgetting any would let its former holder back in.
 */
struct jh_fence *jh_fence_create(size_t max_duties);
void jh_fence_destroy(struct jh_fence *f);

/* Whether an order with this token may run; if so the token is noted. */
bool jh_fence_admit(struct jh_fence *f, const char *duty, uint64_t token);
/* The highest token seen; 0: none. */
uint64_t jh_fence_highest(const struct jh_fence *f, const char *duty);

#endif
