#include <string.h>

#include "entry/limit.h"

struct limit *
limit_create(const char *org, const char *class_name, uint64_t holder,
    uint64_t now, const struct jh_quota_limit *amount)
{
	struct limit *l = g_new0(struct limit, 1);

	l->key = g_strdup_printf("%s/%s", org, class_name);
	l->org = g_strdup(org);
	l->class_name = g_strdup(class_name);
	l->amount = *amount;
	l->holder = jh_quota_holder_create(holder, now, amount);
	return l;
}

void
limit_free(void *p)
{
	struct limit *l = p;

	jh_quota_holder_destroy(l->holder);
	if (l->granter != NULL)
		jh_quota_granter_destroy(l->granter);
	g_free(l->granter_instance);
	g_free(l->class_name);
	g_free(l->org);
	g_free(l->key);
	g_free(l);
}

void
limit_set_amount(
    struct limit *l, uint64_t now, const struct jh_quota_limit *amount)
{
	if (memcmp(&l->amount, amount, sizeof(*amount)) == 0)
		return;
	l->amount = *amount;
	jh_quota_holder_set_limit(l->holder, now, amount);
	if (l->granter != NULL)
		jh_quota_granter_set_limit(l->granter, amount);
}

void
limit_report_to_wire(const struct jh_quota_report *r, const char *key,
    struct jh_wire_report *out)
{
	out->key = g_strdup(key);
	out->seq = r->seq;
	out->rate_demand = r->demand[JH_QUOTA_RATE];
	out->concurrent_demand = r->demand[JH_QUOTA_CONCURRENT];
	out->running = r->running;
	out->members = r->members;
	out->held_granter = r->held_granter;
	out->held_seq = r->held_seq;
	out->held_rate = r->held_amount[JH_QUOTA_RATE];
	out->held_concurrent = r->held_amount[JH_QUOTA_CONCURRENT];
	out->held_left_usec = r->held_left_usec;
}

struct jh_quota_report
limit_report_from_wire(
    const struct jh_wire_report *w, uint64_t holder, uint64_t granter)
{
	struct jh_quota_report r = {.holder = holder,
	    .granter = granter,
	    .seq = w->seq,
	    .running = w->running,
	    .members = w->members,
	    .held_granter = w->held_granter,
	    .held_seq = w->held_seq,
	    .held_left_usec = w->held_left_usec};

	r.demand[JH_QUOTA_RATE] = w->rate_demand;
	r.demand[JH_QUOTA_CONCURRENT] = w->concurrent_demand;
	r.held_amount[JH_QUOTA_RATE] = w->held_rate;
	r.held_amount[JH_QUOTA_CONCURRENT] = w->held_concurrent;
	return r;
}
