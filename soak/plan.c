#include <math.h>
#include <stdbool.h>

#include <jacinthhill/clock.h>

#include "soak/plan.h"

/*
 * Mean time between faults. They last 0.9 s on average, so two or three
 * overlap.
 */
#define MEAN_INTERVAL_SEC 0.35
#define MIN_DURATION_SEC 0.1
#define MAX_DURATION_SEC 2.5
/* Delay of a slow link; the platform calls its store slow from 0.3 s on. */
#define MIN_DELAY_SEC 0.05
/* Series of pauses of a router, and what lies between two series. */
#define MAX_SERIES_INTERVAL_SEC 2.0
#define MIN_SERIES_SEC 2.0
#define MAX_SERIES_SEC 6.0
#define MIN_PAUSE_SEC 0.4
#define MAX_PAUSE_SEC 1.0
/* Between crashes of workers and power failures beside them. */
#define MEAN_CRASH_INTERVAL_SEC 2.0
/* Between two rate limits of any workers, and how long one is named. */
#define MEAN_LIMIT_INTERVAL_SEC 1.5
#define MIN_LIMIT_SEC 4.0
#define MAX_LIMIT_SEC 14.0
/* Limits are drawn with equal chances for each factor of two. */
#define MIN_LIMIT_RATE 0.3
#define LIMIT_DOUBLINGS 7
/* Between restores of the store, and how long it is away. */
#define MEAN_RESTORE_INTERVAL_SEC 4.0
#define MAX_AWAY_SEC 0.6
/* Between workers that say that they leave, or turn requests away. */
#define MEAN_NOTICE_INTERVAL_SEC 1.0
#define MIN_NOTICE_SEC 0.3
#define MAX_NOTICE_SEC 5.0
/*
 * The rules on a crashing prompt part begin 4 and 8 s after its fifth crash,
 * and bind routers 4 s after the other faults.
 */
#define MAX_POISON_WAIT_SEC 1.0
#define MIN_POISON_TAIL_SEC 9.0

/* What a fault affects. */
enum affects {
	AFFECTS_ROUTER,
	AFFECTS_ALL_ROUTERS,
	AFFECTS_STORE,
	AFFECTS_WORKER,
	AFFECTS_NONE
};

struct kind {
	const char *name;
	unsigned int weight; /* relative frequency */
	bool has_duration;
	enum affects affects;
};

/* What the faults of a plan may affect. */
struct scope {
	unsigned int routers, excluded;
	bool store, all; /* faults of the store, of all routers at once */
};

static const struct kind kinds[FAULT_KINDS] = {
    [FAULT_FREEZE] = {"freeze", 4, true, AFFECTS_ROUTER},
    [FAULT_KILL] = {"kill", 3, true, AFFECTS_ROUTER},
    [FAULT_KILL_ALL] = {"kill_all", 1, true, AFFECTS_ALL_ROUTERS},
    [FAULT_STOP] = {"stop", 3, true, AFFECTS_ROUTER},
    [FAULT_RELOAD] = {"reload", 1, false, AFFECTS_ROUTER},
    [FAULT_PAUSES] = {"pauses", 0, true, AFFECTS_ROUTER},
    [FAULT_STORE_REFUSES] = {"store_refuses", 2, true, AFFECTS_STORE},
    [FAULT_STORE_SILENT] = {"store_silent", 2, true, AFFECTS_STORE},
    [FAULT_STORE_LOSES_RESPONSES] = {"store_loses_answers", 2, true,
	AFFECTS_STORE},
    [FAULT_STORE_DROPS_HISTORY] = {"store_forgets", 2, false, AFFECTS_STORE},
    [FAULT_STORE_RESTORED] = {"store_restored", 0, true, AFFECTS_NONE},
    [FAULT_STORE_LINK] = {"store_link", 4, true, AFFECTS_ROUTER},
    [FAULT_WORKER_MODE] = {"worker_mode", 5, true, AFFECTS_WORKER},
    [FAULT_WORKER_CRASH] = {"worker_crash", 4, true, AFFECTS_WORKER},
    [FAULT_WORKER_DRAINS] = {"worker_leaves", 3, true, AFFECTS_WORKER},
    [FAULT_WORKER_LINK] = {"worker_link", 4, true, AFFECTS_WORKER},
    [FAULT_POWER] = {"power", 0, true, AFFECTS_NONE},
    [FAULT_RATE_LIMIT] = {"rate_limit", 0, true, AFFECTS_NONE},
    [FAULT_ANNOUNCED_LEAVING] = {"announced_leaving", 0, true, AFFECTS_NONE},
    [FAULT_REFUSALS] = {"refusals", 0, true, AFFECTS_NONE},
    [FAULT_POISON_PART] = {"poison_part", 0, true, AFFECTS_NONE},
    [FAULT_CLIENT_LINK] = {"caller_link", 3, true, AFFECTS_ROUTER},
    [FAULT_CONFIG] = {"config", 5, false, AFFECTS_NONE},
    [FAULT_WEIGHTS] = {"weights", 3, false, AFFECTS_NONE},
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

	if ((k->affects == AFFECTS_STORE && !s->store) ||
	    (k->affects == AFFECTS_ALL_ROUTERS && !s->all) ||
	    (k->affects == AFFECTS_ROUTER && s->routers == 1))
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

	if (kinds[kind].affects != AFFECTS_ROUTER)
		return any;
	return (s->excluded + 1 + any % (s->routers - 1)) % s->routers;
}

static uint64_t
draw_duration(GRand *rand, double min, double max)
{
	return (uint64_t)(g_rand_double_range(rand, min, max) *
			  (double)JH_USEC_PER_SEC);
}

GArray *
soak_plan_draw(GRand *rand, unsigned int routers, uint64_t from, uint64_t until)
{
	struct scope scope = {.routers = routers,
	    .excluded = g_rand_int(rand) % routers,
	    .store = g_rand_boolean(rand),
	    .all = g_rand_boolean(rand)};

	GArray *plan = g_array_new(FALSE, TRUE, sizeof(struct soak_fault));
	struct soak_fault f;
	uint64_t at = from;

	for (;;) {
		at += draw_duration(rand, 0, 2 * MEAN_INTERVAL_SEC);
		if (at >= until)
			return plan;
		f.kind = draw_kind(rand, &scope);
		f.at = at;
		f.until = at + draw_duration(
				   rand, MIN_DURATION_SEC, MAX_DURATION_SEC);
		f.until = kinds[f.kind].has_duration ? MIN(f.until, until) : at;
		f.target = draw_target(rand, &scope, f.kind);
		f.variant = g_rand_int(rand);
		f.delay =
		    draw_duration(rand, MIN_DELAY_SEC, SOAK_MAX_DELAY_SEC);
		g_array_append_val(plan, f);
	}
}

static int
compare_times(gconstpointer a, gconstpointer b)
{
	const struct soak_fault *x = a, *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

static void
add_pauses(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	struct soak_fault f = {.kind = FAULT_PAUSES};

	f.target = g_rand_int(rand);
	for (;;) {
		f.at = from + draw_duration(rand, 0, MAX_SERIES_INTERVAL_SEC);
		if (f.at >= until)
			return;
		f.until =
		    f.at + draw_duration(rand, MIN_SERIES_SEC, MAX_SERIES_SEC);
		f.until = MIN(f.until, until);
		f.delay = draw_duration(rand, MIN_PAUSE_SEC, MAX_PAUSE_SEC);
		g_array_append_val(plan, f);
		from = f.until;
	}
}

/* Draws the length, in seconds, and the target of a fault. */
static void
add_fault(GArray *plan, GRand *rand, struct soak_fault f, double min,
    double max, uint64_t until)
{
	f.until = f.at + draw_duration(rand, min, max);
	f.until = MIN(f.until, until);
	f.target = g_rand_int(rand);
	f.variant = g_rand_int(rand);
	g_array_append_val(plan, f);
}

static void
add_crashes(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	struct soak_fault f = {.at = from};

	for (;;) {
		f.at += draw_duration(rand, 0, 2 * MEAN_CRASH_INTERVAL_SEC);
		if (f.at >= until)
			return;
		f.kind =
		    g_rand_boolean(rand) ? FAULT_POWER : FAULT_WORKER_CRASH;
		add_fault(
		    plan, rand, f, MIN_DURATION_SEC, MAX_DURATION_SEC, until);
	}
}

void
soak_plan_add_overlaps(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	add_pauses(plan, rand, from, until);
	add_crashes(plan, rand, from, until);
	g_array_sort(plan, compare_times);
}

double
soak_fault_rate_limit(const struct soak_fault *f)
{
	double position = (double)f->variant / (double)UINT32_MAX;

	return MIN_LIMIT_RATE * exp2(position * LIMIT_DOUBLINGS);
}

void
soak_plan_add_limits(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	struct soak_fault f = {.kind = FAULT_RATE_LIMIT, .at = from};

	for (;;) {
		f.at += draw_duration(rand, 0, 2 * MEAN_LIMIT_INTERVAL_SEC);
		if (f.at >= until)
			break;
		add_fault(plan, rand, f, MIN_LIMIT_SEC, MAX_LIMIT_SEC, until);
	}
	g_array_sort(plan, compare_times);
}

void
soak_plan_add_restores(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	struct soak_fault f = {.kind = FAULT_STORE_RESTORED, .at = from};

	for (;;) {
		f.at += draw_duration(rand, 0, 2 * MEAN_RESTORE_INTERVAL_SEC);
		if (f.at >= until)
			break;
		add_fault(plan, rand, f, 0, MAX_AWAY_SEC, until);
	}
	g_array_sort(plan, compare_times);
}

void
soak_plan_add_notices(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	struct soak_fault f = {.at = from};

	for (;;) {
		f.at += draw_duration(rand, 0, 2 * MEAN_NOTICE_INTERVAL_SEC);
		if (f.at >= until)
			break;
		f.kind = g_rand_boolean(rand) ? FAULT_ANNOUNCED_LEAVING
					      : FAULT_REFUSALS;
		add_fault(plan, rand, f, MIN_NOTICE_SEC, MAX_NOTICE_SEC, until);
	}
	g_array_sort(plan, compare_times);
}

void
soak_plan_add_poison(GArray *plan, GRand *rand, uint64_t from, uint64_t until)
{
	struct soak_fault f = {.kind = FAULT_POISON_PART};

	f.at = from + draw_duration(rand, 0, MAX_POISON_WAIT_SEC);
	f.until = until + draw_duration(
			      rand, MIN_POISON_TAIL_SEC, SOAK_POISON_TAIL_SEC);
	f.variant = g_rand_int(rand);
	g_array_append_val(plan, f);
	g_array_sort(plan, compare_times);
}
