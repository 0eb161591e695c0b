#ifndef JACINTHHILL_PLACE_H
#define JACINTHHILL_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/prefix.h>

/*
 * Chooses the workers that a request is offered to. One placer serves one
 * model; it is a state machine without threads, and its owner serializes
 * calls. Times are microseconds.
 */
struct jh_placer;

/* Most candidates one decision returns. */
#define JH_PLACE_MAX_CANDIDATES 16

/* The load hint of an answer without its own deadline lasts this long. */
#define JH_PLACE_HINT_USEC (2 * 1000000ULL)

struct jh_place_worker {
	uint64_t id;
	uint32_t region;
	uint32_t prefill_rate; /* uncached prompt tokens/s */
	uint32_t decode_rate; /* output tokens/s, all streams together */
	bool leaving;
};

/* What a worker that refused an offer as busy said of this request. */
struct jh_place_heard {
	uint64_t worker;
	uint64_t wait; /* before its prefill starts, microseconds */
	uint32_t cached_tokens; /* of the prompt */
};

struct jh_place_request {
	const struct jh_prefix *prefix;
	uint32_t region;
	uint32_t prefill_tokens; /* expected uncached, if placed well */
	uint32_t decode_tokens; /* expected output */
	bool any_region; /* add workers of other regions at the end */
	/*
	 * A further decision for a request that all candidates refused: it
	 * does not count as demand and bounds no wait. The refusals tell which
	 * worker is fastest after all.
	 */
	bool again;
	const struct jh_place_heard *heard;
	size_t n_heard;
};

/*
 * A worker to offer the request to. It should refuse the offer as busy if it
 * expects the first token (its queue and the prefill of what it has not
 * cached) later than max_wait. The caller's own deadline applies as well. When
 * all candidates refused, choose again with what they said.
 */
struct jh_candidate {
	uint64_t worker;
	uint64_t max_wait; /* microseconds; JH_NEVER: no bound */
};

enum jh_place_outcome {
	JH_PLACE_ACCEPTED,
	JH_PLACE_BUSY, /* refused as not run, for its wait */
	JH_PLACE_FAILED, /* broken connection or crash */
	JH_PLACE_LEAVING /* said that it is leaving */
};

/* What an answer, or its absence, said about a worker. */
struct jh_place_answer {
	enum jh_place_outcome outcome;
	bool has_wait;
	uint64_t wait; /* estimated wait of a new request, microseconds */
	uint64_t wait_deadline; /* 0: now + JH_PLACE_HINT_USEC */
	const struct jh_prefix *prefix; /* NULL: none */
	bool has_cached;
	uint32_t cached_tokens; /* prompt tokens found in cache */
	uint32_t width; /* of the prefix; 0: not told */
};

struct jh_place_policy {
	const char *name;
	/* Writes up to max candidates, best first, and returns the number. */
	size_t (*choose)(struct jh_placer *p, uint64_t now,
	    const struct jh_place_request *r, struct jh_candidate *out,
	    size_t max);
};

extern const struct jh_place_policy jh_place_round_robin;
extern const struct jh_place_policy jh_place_least_load;
/* Consistent hashing on the first level, or on the whole prefix. */
extern const struct jh_place_policy jh_place_rendezvous;
extern const struct jh_place_policy jh_place_rendezvous_whole;
extern const struct jh_place_policy jh_place_affinity;

/* The policy of that name, or NULL. */
const struct jh_place_policy *jh_place_policy_find(const char *name);

/* The seed spreads where round robin starts and how ties break. */
struct jh_placer *jh_placer_create(
    const struct jh_place_policy *policy, uint64_t seed);
void jh_placer_destroy(struct jh_placer *p);

/*
 * Replaces the worker list. What is known about workers that stay is kept;
 * orders are recomputed only if the set of ids, regions or rates changed. A
 * worker that said itself that it is leaving gets no work for 60 s more.
 */
void jh_placer_set_workers(struct jh_placer *p, uint64_t now,
    const struct jh_place_worker *workers, size_t n);

/* The number of live entry daemons in this one's region, itself included. */
void jh_placer_set_entries(struct jh_placer *p, uint32_t entries);

/*
 * Chooses candidates for a request, best first; a worker appears once. Returns
 * 0 if no worker may take it.
 */
size_t jh_placer_choose(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);

/* Learns from an answer; unknown workers are ignored. */
void jh_placer_learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    const struct jh_place_answer *a);

/*
 * The width estimated here for the prefix, for Jh-Width (at least 1). Widths
 * learned from answers are left out, so that they cannot echo forever.
 */
uint32_t jh_placer_width(
    struct jh_placer *p, uint64_t now, const struct jh_prefix *prefix);

/* Bytes of state held now. */
size_t jh_placer_bytes(const struct jh_placer *p);

#endif
