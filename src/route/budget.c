#include <glib.h>

#include "route/budget.h"

/* A window is counted in this many steps; the oldest is forgotten whole. */
#define STEPS 10

/*
 * Part of the allowance that is used: the count of processes may lag, and a
 * worker may see repeats of two windows in one.
 */
#define USED_SHARE 0.7

struct counts {
	uint64_t step[STEPS + 1]; /* number of the step that is counted */
	uint32_t requests[STEPS + 1];
	uint32_t repeats[STEPS + 1];
};

struct jh_budget {
	struct jh_budget_spec spec;
	GHashTable *services; /* name to struct counts */
};

struct jh_budget *
jh_budget_create(const struct jh_budget_spec *spec)
{
	struct jh_budget *b = g_new0(struct jh_budget, 1);

	b->spec = *spec;
	b->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void
jh_budget_destroy(struct jh_budget *b)
{
	if (b == NULL)
		return;
	g_hash_table_destroy(b->services);
	g_free(b);
}

void
jh_budget_set(struct jh_budget *b, double ratio, double slack)
{
	b->spec.ratio = ratio;
	b->spec.slack = slack;
}

static struct counts *
find(struct jh_budget *b, const char *service)
{
	struct counts *c = g_hash_table_lookup(b->services, service);

	if (c == NULL) {
		c = g_new0(struct counts, 1);
		g_hash_table_insert(b->services, g_strdup(service), c);
	}
	return c;
}

/* The slot of the present step, emptied if it held an older one. */
static size_t
slot(const struct jh_budget *b, struct counts *c, uint64_t now)
{
	uint64_t step = now / (b->spec.window / STEPS) + 1;
	size_t i = step % (STEPS + 1);

	if (c->step[i] != step) {
		c->step[i] = step;
		c->requests[i] = 0;
		c->repeats[i] = 0;
	}
	return i;
}

void
jh_budget_request(struct jh_budget *b, uint64_t now, const char *service)
{
	struct counts *c = find(b, service);

	c->requests[slot(b, c, now)]++;
}

bool
jh_budget_take(struct jh_budget *b, uint64_t now, const char *service,
    unsigned int processes)
{
	struct counts *c = find(b, service);
	size_t at = slot(b, c, now), i;
	uint64_t newest = c->step[at];
	double requests = 0, repeats = 0, allowed;

	for (i = 0; i <= STEPS; i++) {
		if (c->step[i] + STEPS < newest)
			continue;
		requests += c->requests[i];
		repeats += c->repeats[i];
	}
	allowed = USED_SHARE * (b->spec.ratio * requests +
				   b->spec.slack / MAX(processes, 1));
	if (repeats + 1 > allowed)
		return false;
	c->repeats[at]++;
	return true;
}
