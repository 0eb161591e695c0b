#include <glib.h>

#include <jacinthhill/clock.h>

#include "queue_policy.h"

/* The baselines ignore deadlines and start a request in any free slot. */
struct baseline {
	GQueue items[JH_RANKS];
	unsigned int running;
	bool ranked;
};

static void *
create(bool ranked)
{
	struct baseline *l = g_new0(struct baseline, 1);

	l->ranked = ranked;
	return l;
}

static void *
create_fifo(void)
{
	return create(false);
}

static void *
create_strict(void)
{
	return create(true);
}

static void
destroy(void *q)
{
	struct baseline *l = q;
	int r;

	for (r = 0; r < JH_RANKS; r++)
		g_queue_clear_full(&l->items[r], g_free);
	g_free(l);
}

static enum jh_queue_reason
offer(void *q, uint64_t now, const struct jh_queue_item *item)
{
	struct baseline *l = q;
	int r = l->ranked ? (int)item->rank : 0;

	if (l->items[0].length + l->items[1].length >= QUEUE_MAX_ITEMS)
		return JH_QUEUE_FULL;
	g_queue_push_tail(&l->items[r], g_memdup2(item, sizeof(*item)));
	return JH_QUEUE_ACCEPTED;
}

static bool
next(void *q, uint64_t now, struct jh_queue_item *item)
{
	struct baseline *l = q;
	struct jh_queue_item *head;

	if (l->running >= QUEUE_SLOTS)
		return false;
	head = g_queue_pop_head(&l->items[0]);
	if (head == NULL)
		head = g_queue_pop_head(&l->items[1]);
	if (head == NULL)
		return false;
	*item = *head;
	g_free(head);
	l->running++;
	return true;
}

static void
first_token(void *q, uint64_t now, uint64_t id)
{
}

static void
finished(void *q, uint64_t now, uint64_t id, uint32_t decoded)
{
	struct baseline *l = q;

	l->running--;
}

static void
expire(void *q, uint64_t now)
{
}

static uint64_t
wake_at(void *q)
{
	return JH_NEVER;
}

static bool
take_refused(void *q, struct jh_queue_refused *out)
{
	return false;
}

const struct queue_policy queue_fifo = {"fifo", create_fifo, destroy, offer,
    next, first_token, finished, expire, wake_at, take_refused};

const struct queue_policy queue_strict = {"strict", create_strict, destroy,
    offer, next, first_token, finished, expire, wake_at, take_refused};
