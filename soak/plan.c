#include <stdbool.h>

#include <jacinthhill/clock.h>

#include "soak/plan.h"

/*
 * Mean pause between faults. They last 0.9 s in the mean, so that two or three
 * overlap.
 */
#define PAUSE_SEC 0.35
#define LEAST_SEC 0.1
#define MOST_SEC 2.5
/* A slow link; the platform's store is called slow from 0.3 s on. */
#define LEAST_DELAY_SEC 0.05
#define MOST_DELAY_SEC 0.8

/* What a fault strikes. */
enum aim { AIM_ENTRY, AIM_ENTRIES, AIM_STORE, AIM_WORKER, AIM_NOTHING };

struct kind {
	const char *name;
	unsigned int weight; /* how often it is drawn */
	bool lasts;
	enum aim aim;
};

/* What one plan spares. */
struct scope {
	unsigned int entries, spared;
	bool store, all; /* may be struck: the store, all entries at once */
};

static const struct kind kinds[FAULT_KINDS] = {
    [FAULT_FREEZE] = {"freeze", 4, true, AIM_ENTRY},
    [FAULT_KILL] = {"kill", 3, true, AIM_ENTRY},
    [FAULT_KILL_ALL] = {"kill_all", 1, true, AIM_ENTRIES},
    [FAULT_STOP] = {"stop", 3, true, AIM_ENTRY},
    [FAULT_RELOAD] = {"reload", 1, false, AIM_ENTRY},
    [FAULT_STORE_REFUSES] = {"store_refuses", 2, true, AIM_STORE},
    [FAULT_STORE_SILENT] = {"store_silent", 2, true, AIM_STORE},
    [FAULT_STORE_LOSES_ANSWERS] = {"store_loses_answers", 2, true, AIM_STORE},
    [FAULT_STORE_FORGETS] = {"store_forgets", 2, false, AIM_STORE},
    [FAULT_STORE_LINK] = {"store_link", 4, true, AIM_ENTRY},
    [FAULT_WORKER_MODE] = {"worker_mode", 5, true, AIM_WORKER},
    [FAULT_WORKER_CRASH] = {"worker_crash", 4, true, AIM_WORKER},
    [FAULT_WORKER_LEAVES] = {"worker_leaves", 3, true, AIM_WORKER},
    [FAULT_WORKER_LINK] = {"worker_link", 4, true, AIM_WORKER},
    [FAULT_CALLER_LINK] = {"caller_link", 3, true, AIM_ENTRY},
    [FAULT_CONFIG] = {"config", 5, false, AIM_NOTHING},
    [FAULT_WEIGHTS] = {"weights", 3, false, AIM_NOTHING},
};

const char *
soak_fault_name(enum soak_fault_kind kind)
{
	return kinds[kind].name;
}

static unsigned int
weight_of(const struct scope *s, unsigned int kind)
{
	const struct kind *k = &kinds[kind];

	if ((k->aim == AIM_STORE && !s->store) ||
	    (k->aim == AIM_ENTRIES && !s->all) ||
	    (k->aim == AIM_ENTRY && s->entries == 1))
		return 0;
	return k->weight;
}

static enum soak_fault_kind
draw_kind(GRand *rand, const struct scope *s)
{
	unsigned int total = 0, at, i;

	for (i = 0; i < FAULT_KINDS; i++)
		total += weight_of(s, i);
	at = (unsigned int)g_rand_int_range(rand, 0, (gint32)total);
	for (i = 0; at >= weight_of(s, i); i++)
		at -= weight_of(s, i);
	return (enum soak_fault_kind)i;
}

static unsigned int
draw_target(GRand *rand, const struct scope *s, enum soak_fault_kind kind)
{
	unsigned int any = g_rand_int(rand);

	if (kinds[kind].aim != AIM_ENTRY)
		return any;
	return (s->spared + 1 + any % (s->entries - 1)) % s->entries;
}

static uint64_t
draw_span(GRand *rand, double least, double most)
{
	return (uint64_t)(g_rand_double_range(rand, least, most) *
			  (double)JH_USEC_PER_SEC);
}

GArray *
soak_plan_draw(GRand *rand, unsigned int entries, uint64_t from, uint64_t until)
{
	struct scope scope = {.entries = entries,
	    .spared = g_rand_int(rand) % entries,
	    .store = g_rand_boolean(rand),
	    .all = g_rand_boolean(rand)};

	GArray *plan = g_array_new(FALSE, TRUE, sizeof(struct soak_fault));
	struct soak_fault f;
	uint64_t at = from;

	for (;;) {
		at += draw_span(rand, 0, 2 * PAUSE_SEC);
		if (at >= until)
			return plan;
		f.kind = draw_kind(rand, &scope);
		f.at = at;
		f.until = at + draw_span(rand, LEAST_SEC, MOST_SEC);
		f.until = kinds[f.kind].lasts ? MIN(f.until, until) : at;
		f.target = draw_target(rand, &scope, f.kind);
		f.variant = g_rand_int(rand);
		f.delay = draw_span(rand, LEAST_DELAY_SEC, MOST_DELAY_SEC);
		g_array_append_val(plan, f);
	}
}
