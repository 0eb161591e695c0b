#ifndef FEED_STORE_BACKOFF_H
#define FEED_STORE_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * The backoff that all readers of one store share. While the store does not
 * serve this process, one reader at a time probes it, so that an outage costs
 * as many calls as one reader makes. Does no I/O; not thread safe. Times are
 * microseconds of a monotonic clock.
 */
struct jh_store_backoff;

/* The first delay between two probes; it doubles up to the longest one. */
#define JH_STORE_BACKOFF_MIN_USEC 200000ULL
/*
 * A process that counts as connected 4 s after an outage has to notice its end
 * early enough to await objects that are back only 2 s after it.
 */
#define JH_STORE_BACKOFF_MAX_USEC 740000ULL

/* rand spreads the probes of many processes; it stays with the caller. */
struct jh_store_backoff *jh_store_backoff_create(GRand *rand);
void jh_store_backoff_destroy(struct jh_store_backoff *b);

/* A call failed, or the store refused it. */
void jh_store_backoff_failed(struct jh_store_backoff *b, uint64_t now);
/* The store served a call. */
void jh_store_backoff_served(struct jh_store_backoff *b);
/*
 * Whether a reader may call the store now. In an outage this takes the probe
 * that is due; the caller makes the call and reports its result.
 */
bool jh_store_backoff_may_call(struct jh_store_backoff *b, uint64_t now);

#endif
