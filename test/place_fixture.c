#include "place_fixture.h"

struct jh_place_worker fleet[FLEET];

struct jh_placer *
placer(const struct jh_place_policy *policy, size_t n)
{
	struct jh_placer *p = jh_placer_create(policy, 7);
	size_t i;

	for (i = 0; i < FLEET; i++)
		fleet[i] = (struct jh_place_worker){.id = 1000 + i,
		    .region = (uint32_t)(i % REGIONS),
		    .prefill_rate = 40000,
		    .decode_rate = 200};
	jh_placer_set_workers(p, 0, fleet, n);
	return p;
}

struct jh_prefix
prefix(uint64_t manual, uint64_t org, uint64_t question)
{
	return (struct jh_prefix){.n = 3,
	    .level = {{manual * 0x9e3779b97f4a7c15ULL, 100000},
		{manual * 31 + org * 0xbf58476d1ce4e5b9ULL, 1000},
		{manual * 37 + org * 41 + question * 0x94d049bb133111ebULL,
		    200}}};
}

size_t
choose(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    struct jh_candidate *out)
{
	const struct jh_place_request r = {
	    .prefix = x, .prefill_tokens = 200, .decode_tokens = 150};

	return jh_placer_choose(p, now, &r, out, JH_PLACE_MAX_CANDIDATES);
}

uint64_t
first(struct jh_placer *p, uint64_t now, const struct jh_prefix *x)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];

	return choose(p, now, x, c) > 0 ? c[0].worker : 0;
}

size_t
choose_after_refusals(struct jh_placer *p, uint64_t now,
    const struct jh_prefix *x, struct jh_candidate *out)
{
	const struct jh_place_request r = {.prefix = x, .after_refusals = true};

	return jh_placer_choose(p, now, &r, out, JH_PLACE_MAX_CANDIDATES);
}

bool
is_candidate(struct jh_placer *p, uint64_t now, const struct jh_prefix *x,
    uint64_t worker)
{
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	size_t i, n = choose_after_refusals(p, now, x, c);

	for (i = 0; i < n; i++) {
		if (c[i].worker == worker)
			return true;
	}
	return false;
}

void
learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    enum jh_place_outcome outcome, uint64_t wait)
{
	const struct jh_place_response a = {
	    .outcome = outcome, .has_wait = wait > 0, .wait = wait};

	jh_placer_learn(p, now, worker, &a);
}
