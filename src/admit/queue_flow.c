#include <string.h>

#include "admit/queue_flow.h"

/*
 * Part of the present in a flow's level. With 0.5 waves of small callers
 * waited more; with 0.3 large ones came back too soon after a pause.
 */
#define PRESENT_PART 0.4

struct jh_queue_flow *
jh_queue_flow_create(struct jh_str org, uint64_t tie)
{
	struct jh_queue_flow *f = g_new0(struct jh_queue_flow, 1);

	f->org = jh_str_dup(org);
	f->org_len = org.len;
	f->weight = 1;
	f->order.tie = f->size.tie = tie;
	return f;
}

void
jh_queue_flow_destroy(struct jh_queue_flow *f)
{
	g_free(f->org);
	g_free(f);
}

struct jh_queue_sum
jh_queue_flow_sum(const struct jh_queue_flow *f)
{
	struct jh_queue_sum none = {0};

	return f->tree.root == NULL ? none : f->tree.root->all;
}

uint64_t
jh_queue_flow_span(const struct jh_queue_flow *f, uint64_t cost)
{
	return cost * JH_QUEUE_TAG_SCALE / f->weight;
}

double
jh_queue_flow_level(const struct jh_queue_flow *f)
{
	return (PRESENT_PART * f->running + (1 - PRESENT_PART) * f->held.mean) /
	       f->weight;
}

double
jh_queue_flow_left(const struct jh_queue_flow *f, double bound)
{
	return (bound - jh_queue_flow_level(f)) * f->weight / PRESENT_PART;
}
