#include <string.h>

#include "admit/queue_flow.h"

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
