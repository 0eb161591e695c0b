#include <glib.h>

#include "route/retry_budget.h"

/* Steps of the sliding window; the oldest is dropped as a whole. */
#define WINDOW_STEPS 10

/*
 * Fraction of the allowance that is used, because the number of processes may
 * be out of date and a worker may get the retries of two windows within one.
 */
#define USABLE_FRACTION 0.7

struct counts {
	uint64_t step[WINDOW_STEPS + 1]; /* number of the step, by time */
	uint32_t requests[WINDOW_STEPS + 1];
	uint32_t retries[WINDOW_STEPS + 1];
};

struct jh_retry_budget {
	struct jh_retry_budget_spec spec;
	GHashTable *services; /* name to struct counts */
};

struct jh_retry_budget *
jh_retry_budget_create(const struct jh_retry_budget_spec *spec)
{
	struct jh_retry_budget *b = g_new0(struct jh_retry_budget, 1);

	b->spec = *spec;
	b->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void
jh_retry_budget_destroy(struct jh_retry_budget *b)
{
	if (b == NULL)
		return;
	g_hash_table_destroy(b->services);
	g_free(b);
}

void
jh_retry_budget_set_limits(
    struct jh_retry_budget *b, double ratio, double slack)
{
	b->spec.ratio = ratio;
	b->spec.slack = slack;
}

static struct counts *
find_counts(struct jh_retry_budget *b, const char *service)
{
	struct counts *c = g_hash_table_lookup(b->services, service);

	if (c == NULL) {
		c = g_new0(struct counts, 1);
		g_hash_table_insert(b->services, g_strdup(service), c);
	}
	return c;
}

/* Index of the current step, cleared if it was used for an older one. */
static size_t
current_step(const struct jh_retry_budget *b, struct counts *c, uint64_t now)
{
	uint64_t step = now / (b->spec.window / WINDOW_STEPS) + 1;
	size_t i = step % (WINDOW_STEPS + 1);

	if (c->step[i] != step) {
		c->step[i] = step;
		c->requests[i] = 0;
		c->retries[i] = 0;
	}
	return i;
}

void
jh_retry_budget_add_request(
    struct jh_retry_budget *b, uint64_t now, const char *service)
{
	struct counts *c = find_counts(b, service);

	c->requests[current_step(b, c, now)]++;
}

bool
jh_retry_budget_allows(struct jh_retry_budget *b, uint64_t now,
    const char *service, unsigned int processes)
{
	struct counts *c = find_counts(b, service);
	size_t current = current_step(b, c, now), i;
	uint64_t newest = c->step[current];
	double requests = 0, retries = 0, allowed;

	for (i = 0; i <= WINDOW_STEPS; i++) {
		if (c->step[i] + WINDOW_STEPS < newest)
			continue;
		requests += c->requests[i];
		retries += c->retries[i];
	}
	allowed = USABLE_FRACTION * (b->spec.ratio * requests +
					b->spec.slack / MAX(processes, 1));
	return retries + 1 <= allowed;
}

bool
jh_retry_budget_take(struct jh_retry_budget *b, uint64_t now,
    const char *service, unsigned int processes)
{
	struct counts *c;

	if (!jh_retry_budget_allows(b, now, service, processes))
		return false;
	c = find_counts(b, service);
	c->retries[current_step(b, c, now)]++;
	return true;
}
