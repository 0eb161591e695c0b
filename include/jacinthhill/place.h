#ifndef JACINTHHILL_PLACE_H
#define JACINTHHILL_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/prefix.h>

/*
 * Chooses the workers that a request is offered to. One placer serves one
 * model; it has no threads, and its caller serializes calls. Times are
 * microseconds.
 *
 * The width of a prefix is the number of workers that its requests are spread
 * over, and that therefore keep it in their caches.
 */
struct jh_placer;

/* Largest number of candidates that one decision returns. */
#define JH_PLACE_MAX_CANDIDATES 16

/* The wait in a response without its own deadline is valid for this long. */
#define JH_PLACE_WAIT_LIFETIME_USEC (2 * 1000000ULL)

struct jh_place_worker {
	uint64_t id;
	uint32_t region;
	uint32_t prefill_rate; /* uncached prompt tokens/s */
	uint32_t decode_rate; /* output tokens/s, over all requests */
	bool leaving;
};

/* What a worker reported about this request when it refused it as busy. */
struct jh_place_refusal {
	uint64_t worker;
	uint64_t wait; /* before its prefill starts, microseconds */
	uint32_t cached_tokens; /* of the prompt */
};

struct jh_place_request {
	const struct jh_prefix *prefix;
	uint32_t region;
	uint32_t
	    prefill_tokens; /* expected uncached on a worker with the prefix */
	uint32_t decode_tokens; /* expected output */
	bool any_region; /* after refusals, workers of other regions too */
	/*
	 * Set for a further decision on a request that all candidates refused.
	 * It is not counted as demand and its candidates have no max_wait; the
	 * refusals show which worker is fastest.
	 */
	bool after_refusals;
	const struct jh_place_refusal *refusals;
	size_t n_refusals;
};

/*
 * A worker to offer the request to. It should refuse the offer as busy if it
 * expects the first token (its queue and the prefill of what it has not
 * cached) later than max_wait. The caller's own deadline applies as well. When
 * all candidates refused, choose again with after_refusals and their refusals.
 */
struct jh_candidate {
	uint64_t worker;
	uint64_t max_wait; /* microseconds; JH_NEVER: no bound */
};

enum jh_place_outcome {
	JH_PLACE_ACCEPTED,
	JH_PLACE_BUSY, /* refused for its wait; the request has not run */
	JH_PLACE_FAILED, /* broken connection or crash */
	JH_PLACE_LEAVING /* refused because it is leaving */
};

/* A worker's response to a request, or its failure to respond. */
struct jh_place_response {
	enum jh_place_outcome outcome;
	bool has_wait;
	uint64_t wait; /* estimated wait of a new request, microseconds */
	uint64_t wait_deadline; /* 0: now + JH_PLACE_WAIT_LIFETIME_USEC */
	const struct jh_prefix *prefix; /* NULL: none */
	bool has_cached;
	uint32_t cached_tokens; /* prompt tokens found in cache */
	uint32_t width; /* of the prefix; 0: not given */
};

/* A placement policy. */
struct jh_place_policy {
	const char *name;
	/* Writes up to max candidates, best first, and returns the number. */
	size_t (*choose)(struct jh_placer *p, uint64_t now,
	    const struct jh_place_request *r, struct jh_candidate *out,
	    size_t max);
};

extern const struct jh_place_policy jh_place_round_robin;
extern const struct jh_place_policy jh_place_least_load;
/* Rendezvous hashing on the first level, or on the whole prefix. */
extern const struct jh_place_policy jh_place_rendezvous;
extern const struct jh_place_policy jh_place_rendezvous_whole;
/* Prefers workers that are expected to have the prefix cached. */
extern const struct jh_place_policy jh_place_affinity;

/* Policy with this name, or NULL. */
const struct jh_place_policy *jh_place_policy_find(const char *name);

/* The seed sets where round robin starts and how ties are broken. */
struct jh_placer *jh_placer_create(
    const struct jh_place_policy *policy, uint64_t seed);
void jh_placer_destroy(struct jh_placer *p);

/*
 * Replaces the worker list. The state of workers in both lists is kept; the
 * workers preferred for a prefix are recomputed only if the set of ids, regions
 * or rates changed. A worker whose response said that it is leaving gets no
 * requests for 60 s.
 */
void jh_placer_set_workers(struct jh_placer *p, uint64_t now,
    const struct jh_place_worker *workers, size_t n);

/* Sets the number of live entry daemons in the region, including this one. */
void jh_placer_set_entry_daemons(struct jh_placer *p, uint32_t daemons);

/*
 * Chooses candidates for a request, best first; a worker appears once. Returns
 * 0 if no worker may take it.
 */
size_t jh_placer_choose(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);

/* Updates the state from a response; unknown workers are ignored. */
void jh_placer_learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    const struct jh_place_response *a);

/*
 * The width that this placer estimates for the prefix, for Jh-Width (at least
 * 1). Widths learned from responses are left out; entry daemons would otherwise
 * repeat them to each other without end.
 */
uint32_t jh_placer_width(
    struct jh_placer *p, uint64_t now, const struct jh_prefix *prefix);

/* Bytes of memory in use. */
size_t jh_placer_bytes(const struct jh_placer *p);

#endif
