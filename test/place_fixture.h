#ifndef TEST_PLACE_FIXTURE_H
#define TEST_PLACE_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/place.h>

#define FLEET 60
#define REGIONS 2

/* Workers 1000 and up; even ids are in region 0, odd ones in region 1. */
extern struct jh_place_worker fleet[FLEET];

/* Resets fleet; returns a placer with its first n workers. */
struct jh_placer *placer(const struct jh_place_policy *policy, size_t n);

/*
 * A prefix of a shared manual, an organisation's instructions and a question.
 */
struct jh_prefix prefix(uint64_t manual, uint64_t org, uint64_t question);

/* First choice for a request in region 0; returns the number of candidates. */
size_t choose(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    struct jh_candidate *out);

/* The first candidate of choose(), or 0. */
uint64_t first(struct jh_placer *p, uint64_t now, const struct jh_prefix *x);

/* Choice after refusals, which is not counted as demand. */
size_t choose_after_refusals(struct jh_placer *p, uint64_t now,
    const struct jh_prefix *x, struct jh_candidate *out);

/* Whether the worker is a candidate of choose_after_refusals(). */
bool is_candidate(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    uint64_t worker);

/*
 * Passes a response of the worker to the placer. wait is left out if it is 0.
 */
void learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    enum jh_place_outcome outcome, uint64_t wait);

#endif
