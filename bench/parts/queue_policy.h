#ifndef BENCH_PARTS_QUEUE_POLICY_H
#define BENCH_PARTS_QUEUE_POLICY_H

#include <jacinthhill/queue.h>

/* Slots of the benchmark's engine. */
#define QUEUE_SLOTS 16
/* Limit of each policy's queue, in items. */
#define QUEUE_MAX_ITEMS 4096

/* A queue in front of an engine; the calls are those of queue.h. */
struct queue_policy {
	const char *name;
	void *(*create)(void);
	void (*destroy)(void *q);
	enum jh_queue_reason (*offer)(
	    void *q, uint64_t now, const struct jh_queue_item *item);
	bool (*next)(void *q, uint64_t now, struct jh_queue_item *item);
	void (*first_token)(void *q, uint64_t now, uint64_t id);
	void (*finished)(void *q, uint64_t now, uint64_t id, uint32_t decoded);
	/* Moves items that can no longer meet their deadline to the refused. */
	void (*expire)(void *q, uint64_t now);
	uint64_t (*wake_at)(void *q);
	bool (*take_refused)(void *q, struct jh_queue_refused *out);
};

/* One list in order of arrival. */
extern const struct queue_policy queue_fifo;
/* One list for each rank; urgent items always go first. */
extern const struct queue_policy queue_strict;
/* The library's rank queue. */
extern const struct queue_policy queue_ranked;

#endif
