#include <string.h>

#include "place/placer.h"

/* Number of prefixes for which one placer keeps demand figures. */
#define TABLE_CAPACITY 8192

/* Number of worker indices in all cached orders: 2 MB. */
#define ORDER_BUDGET (512 * 1024)

static const struct jh_place_policy *const policies[] = {&jh_place_round_robin,
    &jh_place_least_load, &jh_place_rendezvous, &jh_place_rendezvous_whole,
    &jh_place_affinity};

const struct jh_place_policy *
jh_place_policy_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i]->name, name) == 0)
			return policies[i];
	}
	return NULL;
}

struct jh_placer *
jh_placer_create(const struct jh_place_policy *policy, uint64_t seed)
{
	struct jh_placer *p = g_new0(struct jh_placer, 1);

	p->policy = policy;
	p->seed = seed;
	p->cursor = seed;
	p->entry_daemons = 1;
	p->table = jh_place_table_create(TABLE_CAPACITY, ORDER_BUDGET);
	return p;
}

void
jh_placer_destroy(struct jh_placer *p)
{
	if (p == NULL)
		return;
	jh_place_table_destroy(p->table);
	g_free(p->worker);
	g_free(p->id);
	g_free(p->by_id);
	g_free(p->scratch);
	g_free(p->region);
	g_free(p);
}

void
jh_placer_set_entry_daemons(struct jh_placer *p, uint32_t daemons)
{
	p->entry_daemons = MAX(daemons, 1);
}

size_t
jh_placer_choose(struct jh_placer *p, uint64_t now,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max)
{
	return p->policy->choose(
	    p, now, r, out, MIN(max, JH_PLACE_MAX_CANDIDATES));
}

static struct jh_worker *
find_worker(const struct jh_placer *p, uint64_t id)
{
	uint32_t lo = 0, hi = p->n, mid;

	while (lo < hi) {
		mid = lo + (hi - lo) / 2;
		if (p->id[p->by_id[mid]] < id)
			lo = mid + 1;
		else
			hi = mid;
	}
	if (lo == p->n || p->id[p->by_id[lo]] != id)
		return NULL;
	return &p->worker[p->by_id[lo]];
}

static void
learn_width(struct jh_placer *p, uint64_t now, const struct jh_prefix *prefix,
    uint32_t width)
{
	/*
	 * Responses no longer carry a width some seconds after it was needed.
	 */
	const uint64_t lifetime = 10 * JH_USEC_PER_SEC;
	struct jh_place_prefix *e;

	e = jh_place_table_use(p->table, jh_prefix_key(prefix, 0));
	if (now >= e->learned_width_deadline || width >= e->learned_width) {
		e->learned_width = width;
		e->learned_width_deadline = now + lifetime;
	}
}

void
jh_placer_learn(struct jh_placer *p, uint64_t now, uint64_t worker,
    const struct jh_place_response *a)
{
	struct jh_worker *w = find_worker(p, worker);

	if (w == NULL)
		return;
	jh_worker_update(w, now, a);
	if (a->width > 0 && a->prefix != NULL && a->prefix->n > 0)
		learn_width(p, now, a->prefix, a->width);
}

uint32_t
jh_placer_width(
    struct jh_placer *p, uint64_t now, const struct jh_prefix *prefix)
{
	struct jh_place_prefix *e;

	if (prefix->n == 0)
		return 1;
	e = jh_place_table_find(p->table, jh_prefix_key(prefix, 0));
	return e == NULL ? 1 : MAX(e->demand.width, 1);
}

size_t
jh_placer_bytes(const struct jh_placer *p)
{
	return sizeof(*p) + jh_place_table_bytes(p->table) +
	       p->n * (sizeof(*p->worker) + sizeof(*p->id) + sizeof(*p->by_id) +
			  sizeof(*p->scratch)) +
	       p->n_regions * sizeof(*p->region);
}
