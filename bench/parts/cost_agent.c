#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/cacheview.h>
#include <jacinthhill/clock.h>
#include <jacinthhill/queue.h>

#include "cost.h"

#define EVENTS 50000
#define EVENTS_PER_REPLY 53 /* cache events of an engine in one second */
#define BLOCK_TOKENS 2000
#define QUEUE_ORGS 100

struct view {
	struct jh_cacheview *view;
	uint64_t blocks;
	uint64_t seq;
	char *reply;
};

static uint64_t
block_hash(uint64_t i)
{
	return (i + 1) * 0x9e3779b97f4a7c15ULL;
}

static void
apply(struct view *v, enum jh_cache_change change, uint64_t hash)
{
	struct jh_cache_event e = {
	    .incarnation = 1, .seq = ++v->seq, .change = change};

	e.blocks = &hash;
	e.n = 1;
	jh_cacheview_apply(v->view, &e);
}

/* In a full cache, each stored block evicts another one. */
static void
replace_block(void *arg, uint64_t i)
{
	struct view *v = arg;

	apply(v, JH_CACHE_REMOVED, block_hash(i));
	apply(v, JH_CACHE_STORED, block_hash(i + v->blocks));
}

/* The agent parses the events of one second (src/agent/engine_poll.c). */
static void
parse_events(void *arg, uint64_t i)
{
	struct view *v = arg;

	json_decref(json_loads(v->reply, 0, NULL));
}

static char *
events_reply(void)
{
	GString *s =
	    g_string_new("{\"incarnation\":\"00000000000000ab\",\"events\":[");
	unsigned int i;

	for (i = 0; i < EVENTS_PER_REPLY; i++)
		g_string_append_printf(s,
		    "%s[%u,\"stored\",%" G_GINT64_FORMAT "]", i == 0 ? "" : ",",
		    1000000 + i, (gint64)block_hash(i));
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}

void
cost_cache(uint64_t seed)
{
	static const uint64_t sizes[] = {2000, 20000, 53125};
	struct view v = {.reply = events_reply()};
	size_t i, before;
	uint64_t b;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		before = cost_heap();
		v.blocks = sizes[i];
		v.seq = 0;
		v.view = jh_cacheview_create(sizes[i], BLOCK_TOKENS);
		jh_cacheview_set_incarnation(v.view, 1);
		for (b = 0; b < sizes[i]; b++)
			apply(&v, JH_CACHE_STORED, block_hash(b));
		before = cost_heap() - before;
		cost_print("cache", sizes[i], "apply two events, heap",
		    cost_measure(COST_THREAD, replace_block, &v, EVENTS),
		    (double)before);
		jh_cacheview_destroy(v.view);
	}
	cost_print("cache", EVENTS_PER_REPLY, "parse events, text",
	    cost_measure(COST_THREAD, parse_events, &v, 200),
	    (double)strlen(v.reply));
	g_free(v.reply);
}

struct queue {
	struct jh_queue *queue;
	uint64_t now;
	uint64_t next;
};

static bool
offer(struct queue *q)
{
	char org[32];
	struct jh_queue_decision d;
	struct jh_queue_item it = {.id = q->next++, .weight = 1};

	it.org.len = (size_t)snprintf(org, sizeof(org), "org-%u",
	    (unsigned int)(it.id * 31 % QUEUE_ORGS));
	it.org.ptr = org;
	it.rank = it.id % 4 == 0 ? JH_RANK_URGENT : JH_RANK_BACKGROUND;
	it.deadline = JH_NEVER;
	it.prefill = 400 + it.id % 200;
	it.decode = 256;
	return jh_queue_offer(q->queue, q->now, &it, &d);
}

/* Runs one request through a queue whose length stays the same. */
static void
run_request(void *arg, uint64_t i)
{
	struct queue *q = arg;
	struct jh_queue_item it;

	q->now += JH_USEC_PER_SEC / 10;
	offer(q);
	jh_queue_expire(q->queue, q->now);
	if (!jh_queue_next(q->queue, q->now, &it))
		return;
	jh_queue_first_token(q->queue, q->now, it.id);
	jh_queue_finished(
	    q->queue, q->now, it.id, JH_QUEUE_END_DONE, it.decode);
}

static void
estimate(void *arg, uint64_t i)
{
	struct queue *q = arg;
	struct jh_queue_item it = {.org = JH_STR("org-7"),
	    .weight = 1,
	    .rank = JH_RANK_BACKGROUND,
	    .deadline = JH_NEVER,
	    .prefill = 500,
	    .decode = 256};

	jh_queue_estimate(q->queue, q->now, &it);
}

void
cost_queue(uint64_t seed)
{
	static const size_t sizes[] = {100, 1000, 10000};
	struct jh_queue_config config;
	struct queue q;
	size_t i, k, before;
	size_t refused;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		before = cost_heap();
		jh_queue_config_init(&config);
		config.max_items = sizes[i] + 100;
		config.max_cost = UINT64_MAX / 4;
		q = (struct queue){jh_queue_create(&config), 1, 1};
		for (k = 0, refused = 0; k < sizes[i]; k++)
			refused += !offer(&q);
		if (refused != 0)
			printf("queue: %zu items refused\n", refused);
		before = cost_heap() - before;
		cost_print("queue", sizes[i], "request through, heap",
		    cost_measure(COST_THREAD, run_request, &q, 5000),
		    (double)before);
		cost_print("queue", sizes[i], "estimate",
		    cost_measure(COST_THREAD, estimate, &q, 5000), -1);
		jh_queue_destroy(q.queue);
	}
}
