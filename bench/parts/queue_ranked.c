#include "queue_policy.h"

static void *
create(void)
{
	struct jh_queue_config config;

	jh_queue_config_init(&config);
	config.slots = QUEUE_SLOTS;
	config.max_items = QUEUE_MAX_ITEMS;
	return jh_queue_create(&config);
}

static void
destroy(void *q)
{
	jh_queue_destroy(q);
}

static enum jh_queue_reason
offer(void *q, uint64_t now, const struct jh_queue_item *item)
{
	struct jh_queue_decision d;

	jh_queue_offer(q, now, item, &d);
	return d.reason;
}

static bool
next(void *q, uint64_t now, struct jh_queue_item *item)
{
	return jh_queue_next(q, now, item);
}

static void
first_token(void *q, uint64_t now, uint64_t id)
{
	jh_queue_first_token(q, now, id);
}

static void
finished(void *q, uint64_t now, uint64_t id, uint32_t decoded)
{
	jh_queue_finished(q, now, id, JH_QUEUE_END_DONE, decoded);
}

static void
expire(void *q, uint64_t now)
{
	jh_queue_expire(q, now);
}

static uint64_t
wake_at(void *q)
{
	return jh_queue_next_wakeup(q);
}

static bool
take_refused(void *q, struct jh_queue_refused *out)
{
	return jh_queue_take_refused(q, out);
}

const struct queue_policy queue_ranked = {"ranked", create, destroy, offer,
    next, first_token, finished, expire, wake_at, take_refused};
