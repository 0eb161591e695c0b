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

/* A placer that knows the first n workers of a fresh fleet. */
struct jh_placer *placer(const struct jh_place_policy *policy, size_t n);

struct jh_prefix prefix(uint64_t manual, uint64_t tenant, uint64_t question);

size_t choose(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    struct jh_candidate *out);

/* The worker chosen first, or 0. */
uint64_t first(struct jh_placer *p, uint64_t now, const struct jh_prefix *x);

/* Chooses again, which does not count as demand. */
size_t peek(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    struct jh_candidate *out);

bool offers(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    uint64_t worker);

void learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    enum jh_place_outcome outcome, uint64_t wait);

#endif
