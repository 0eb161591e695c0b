/*
 * Example of two parts of libjacinthhill: chooses workers for requests with the
 * affinity policy, and orders requests with the rank queue. Build it with
 *     cc embed.c $(pkg-config --cflags --libs jacinthhill)
 */
#include <stdio.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/place.h>
#include <jacinthhill/queue.h>

#define WORKERS 4

static void
print_candidates(struct jh_placer *p, const char *org)
{
	struct jh_prefix_scope scope = {
	    jh_str_from("small"), jh_str_from("v1"), jh_str_from(org)};
	struct jh_prefix_message messages[] = {
	    {JH_STR("system"), JH_STR("the manual")},
	    {JH_STR("system"), jh_str_from(org)},
	    {JH_STR("user"), JH_STR("Is the water warm?")},
	};
	struct jh_candidate out[JH_PLACE_MAX_CANDIDATES];
	struct jh_place_request r = {.decode_tokens = 64};
	struct jh_prefix prefix;
	size_t n;

	/* The first message is shared by all organisations. */
	jh_prefix_build(&prefix, &scope, messages, 3, 1);
	r.prefix = &prefix;
	n = jh_placer_choose(p, jh_now(), &r, out, JH_PLACE_MAX_CANDIDATES);
	printf("%s: %zu candidates, first is worker %llu\n", org, n,
	    n == 0 ? 0ULL : (unsigned long long)out[0].worker);
}

static void
offer(struct jh_queue *q, uint64_t id, enum jh_rank rank)
{
	struct jh_queue_item item = {.id = id,
	    .org = JH_STR("northside"),
	    .rank = rank,
	    .deadline = JH_NEVER,
	    .prefill = 1000,
	    .decode = 64};
	struct jh_queue_decision d;

	if (!jh_queue_offer(q, jh_now(), &item, &d))
		printf("request %llu refused: %s\n", (unsigned long long)id,
		    jh_queue_reason_name(d.reason));
}

int
main(void)
{
	struct jh_place_worker workers[WORKERS] = {{0}};
	struct jh_queue_config config;
	struct jh_queue_item item;
	struct jh_placer *p;
	struct jh_queue *q;
	size_t i;

	p = jh_placer_create(&jh_place_affinity, 1);
	for (i = 0; i < WORKERS; i++) {
		workers[i].id = i + 1;
		workers[i].prefill_rate = 40000;
		workers[i].decode_rate = 800;
	}
	jh_placer_set_workers(p, jh_now(), workers, WORKERS);
	print_candidates(p, "northside");
	print_candidates(p, "lakeview");
	jh_placer_destroy(p);

	jh_queue_config_init(&config);
	config.slots = 8;
	q = jh_queue_create(&config);
	offer(q, 1, JH_RANK_BACKGROUND);
	offer(q, 2, JH_RANK_URGENT);
	while (jh_queue_next(q, jh_now(), &item))
		printf("send request %llu\n", (unsigned long long)item.id);
	jh_queue_destroy(q);
	return 0;
}
