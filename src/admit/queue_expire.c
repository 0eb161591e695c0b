#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

void
jh_queue_evict(
    struct jh_queue *q, struct jh_queue_entry *e, enum jh_queue_reason reason)
{
	struct jh_queue_refused *r = g_new0(struct jh_queue_refused, 1);

	r->item = e->item;
	r->item.org.ptr = jh_str_dup(e->item.org);
	r->reason = reason;
	g_queue_push_tail(&q->refused, r);
	q->counts[e->item.rank][reason]++;
	jh_queue_cancel(q, e->item.id);
}

void
jh_queue_expire(struct jh_queue *q, uint64_t now)
{
	struct jh_queue_heap_node *n;

	while ((n = jh_queue_heap_top(&q->expiry)) != NULL && n->key < now) {
		jh_queue_evict(q,
		    JH_CONTAINER_OF(n, struct jh_queue_entry, expiry_node),
		    JH_QUEUE_EXPIRED);
	}
}

uint64_t
jh_queue_next_wakeup(const struct jh_queue *q)
{
	const struct jh_queue_heap_node *n = jh_queue_heap_top(&q->expiry);

	if (n == NULL)
		return JH_NEVER;
	return MIN(n->key == JH_NEVER ? JH_NEVER : n->key + 1, q->ready_at);
}

bool
jh_queue_take_refused(struct jh_queue *q, struct jh_queue_refused *out)
{
	struct jh_queue_refused *r = g_queue_pop_head(&q->refused);

	if (r == NULL)
		return false;
	g_free(q->last_refused_org);
	q->last_refused_org = (char *)r->item.org.ptr;
	*out = *r;
	g_free(r);
	return true;
}
