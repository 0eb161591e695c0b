#include <stdio.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/suspects.h>

#include "bench.h"

#define ENGINES 40
#define SLOTS 16 /* requests that an engine runs at once */
#define TICK_USEC (100 * JH_USEC_PER_MSEC)
#define RUN_TICKS (2 * 3600 * 10)
#define REQUEST_TICKS 20 /* a request runs for 2 s */
#define CRASH_TICKS 5 /* a poison request kills its engine after 0.5 s */
#define RESTART_TICKS 200
#define EXCHANGE_TICKS 10
#define RETRY_TICKS 10 /* until a request is retried after a crash */
#define MAX_TRIES 30
#define ARRIVALS_PER_TICK 20 /* use about two thirds of the slots */
#define POISON_TICKS 1200 /* one new poison request each 2 minutes */

struct request {
	struct jh_fingerprint fingerprint;
	bool poison;
	unsigned int crashes;
	unsigned int ready_tick; /* tick of the next attempt */
	unsigned int end_tick;
	bool delayed; /* has waited because it is a suspect */
	unsigned int delayed_since;
};

struct engine {
	struct request *slot[SLOTS];
	unsigned int up_tick;
	struct jh_suspects *table;
	uint64_t crashes;
	uint64_t sent_revision; /* revision of the table that the hub has */
	uint64_t received_revision; /* revision of the hub that the table has */
};

struct sim {
	GRand *rand;
	bool track;
	unsigned int tick;
	uint64_t last_fingerprint;
	struct engine engine[ENGINES];
	struct jh_suspects *hub;
	GQueue queue; /* of struct request */
	unsigned int poison, crashes, aborted, delayed, refused, others_refused;
	unsigned int done, given_up;
	uint64_t delay_ticks;
	unsigned int max_delay_ticks;
};

static uint64_t
now(const struct sim *s)
{
	return (s->tick + 1) * TICK_USEC;
}

static void
arrive(struct sim *s, bool poison)
{
	struct request *r = g_new0(struct request, 1);

	r->fingerprint = (struct jh_fingerprint){1, ++s->last_fingerprint};
	r->poison = poison;
	s->poison += poison;
	g_queue_push_tail(&s->queue, r);
}

static size_t
running(const struct engine *e, struct jh_fingerprint *out)
{
	size_t i, n = 0;

	for (i = 0; i < SLOTS; i++) {
		if (e->slot[i] != NULL)
			out[n++] = e->slot[i]->fingerprint;
	}
	return n;
}

static void
count_delay(struct sim *s, struct request *r)
{
	unsigned int ticks;

	if (!r->delayed || r->poison)
		return;
	ticks = s->tick - r->delayed_since;
	s->delayed++;
	s->delay_ticks += ticks;
	s->max_delay_ticks = MAX(s->max_delay_ticks, ticks);
}

enum start_result {
	STARTED,
	WAITS,
	REFUSED,
};

static enum start_result
try_engine(struct sim *s, struct engine *e, struct request *r)
{
	struct jh_fingerprint others[SLOTS];
	enum jh_suspect_decision v = JH_SUSPECT_RUN;
	size_t n = running(e, others), i;

	if (n == SLOTS || s->tick < e->up_tick)
		return WAITS;
	if (s->track) {
		jh_suspects_hint(e->table, now(s), r->fingerprint, r->crashes);
		v = jh_suspects_may_run(
		    e->table, now(s), r->fingerprint, others, n);
	}
	if (v == JH_SUSPECT_REFUSE)
		return REFUSED;
	if (v == JH_SUSPECT_WAIT) {
		if (!r->delayed)
			r->delayed_since = s->tick;
		r->delayed = true;
		return WAITS;
	}
	for (i = 0; e->slot[i] != NULL; i++)
		continue;
	e->slot[i] = r;
	r->end_tick = s->tick + (r->poison ? CRASH_TICKS : REQUEST_TICKS);
	count_delay(s, r);
	r->delayed = false;
	return STARTED;
}

/* Tries up to 4 engines in a tick; true if the request leaves the queue. */
static bool
place(struct sim *s, struct request *r)
{
	enum start_result start_result = WAITS;
	int i;

	if (s->tick < r->ready_tick)
		return false;
	for (i = 0; i < 4 && start_result == WAITS; i++)
		start_result = try_engine(
		    s, &s->engine[g_rand_int_range(s->rand, 0, ENGINES)], r);
	if (start_result == REFUSED) {
		s->refused++;
		s->others_refused += !r->poison;
		g_free(r);
	}
	return start_result != WAITS;
}

static void
crash(struct sim *s, unsigned int n)
{
	struct engine *e = &s->engine[n];
	struct jh_fingerprint batch[SLOTS];
	size_t i, len = running(e, batch);
	struct request *r;

	s->crashes++;
	if (s->track)
		jh_suspects_crashed(
		    e->table, now(s), n + 1, ++e->crashes, batch, len, 0);
	for (i = 0; i < SLOTS; i++) {
		r = e->slot[i];
		e->slot[i] = NULL;
		if (r == NULL)
			continue;
		s->aborted += !r->poison;
		r->crashes++;
		r->ready_tick = s->tick + RETRY_TICKS;
		if (r->crashes >= MAX_TRIES) {
			s->given_up++;
			g_free(r);
		} else {
			g_queue_push_tail(&s->queue, r);
		}
	}
	e->up_tick = s->tick + RESTART_TICKS;
}

static void
step_engine(struct sim *s, unsigned int n)
{
	struct engine *e = &s->engine[n];
	struct request *r;
	unsigned int i;

	for (i = 0; i < SLOTS; i++) {
		r = e->slot[i];
		if (r == NULL || r->end_tick > s->tick)
			continue;
		if (r->poison) {
			crash(s, n);
			return;
		}
		if (s->track)
			jh_suspects_succeeded(e->table, now(s), r->fingerprint);
		e->slot[i] = NULL;
		s->done++;
		g_free(r);
	}
}

static void
copy(struct sim *s, struct jh_suspects *to, const struct jh_suspects *from,
    uint64_t *revision)
{
	struct jh_crash c[256];
	size_t n;

	do {
		n = jh_suspects_export(
		    from, now(s), *revision, c, G_N_ELEMENTS(c), revision);
		jh_suspects_merge(to, now(s), c, n);
	} while (n > 0);
}

static void
exchange(struct sim *s)
{
	unsigned int i;

	for (i = 0; i < ENGINES; i++)
		copy(
		    s, s->hub, s->engine[i].table, &s->engine[i].sent_revision);
	for (i = 0; i < ENGINES; i++) {
		copy(s, s->engine[i].table, s->hub,
		    &s->engine[i].received_revision);
		jh_suspects_expire(s->engine[i].table, now(s));
	}
	jh_suspects_expire(s->hub, now(s));
}

static void
step(struct sim *s)
{
	guint waiting, i;
	struct request *r;

	for (i = 0; i < ARRIVALS_PER_TICK; i++)
		arrive(s, false);
	if (s->tick % POISON_TICKS == POISON_TICKS / 2)
		arrive(s, true);
	waiting = s->queue.length;
	while (waiting-- > 0) {
		r = g_queue_pop_head(&s->queue);
		if (!place(s, r))
			g_queue_push_tail(&s->queue, r);
	}
	for (i = 0; i < ENGINES; i++)
		step_engine(s, i);
	if (s->track && s->tick % EXCHANGE_TICKS == 0)
		exchange(s);
}

static void
run_one(const char *name, uint64_t seed, bool track)
{
	struct jh_suspects_settings settings = {JH_SUSPECTS_DEFAULTS};
	struct sim s = {
	    .rand = g_rand_new_with_seed((guint32)seed), .track = track};
	unsigned int i, j;

	g_queue_init(&s.queue);
	s.hub = jh_suspects_create(&settings);
	for (i = 0; i < ENGINES; i++)
		s.engine[i].table = jh_suspects_create(&settings);
	for (s.tick = 0; s.tick < RUN_TICKS; s.tick++)
		step(&s);
	printf("%-10s %7u %8u %8.2f %8u %8u %9.1f %9.1f %9u %8u\n", name,
	    s.poison, s.crashes, (double)s.crashes / s.poison, s.aborted,
	    s.delayed,
	    s.delayed == 0 ? 0 : (double)s.delay_ticks / s.delayed / 10,
	    (double)s.max_delay_ticks / 10, s.others_refused, s.done);
	for (i = 0; i < ENGINES; i++) {
		for (j = 0; j < SLOTS; j++)
			g_free(s.engine[i].slot[j]);
		jh_suspects_destroy(s.engine[i].table);
	}
	jh_suspects_destroy(s.hub);
	g_queue_clear_full(&s.queue, g_free);
	g_rand_free(s.rand);
}

int
poison_bench_run(uint64_t seed)
{
	printf("poison: %d engines, batches of %d, one poison request each "
	       "%d s, sent again up to %d times\n",
	    ENGINES, SLOTS, POISON_TICKS / 10, MAX_TRIES);
	printf("%-10s %7s %8s %8s %8s %8s %9s %9s %9s %8s\n", "", "poison",
	    "crashes", "each", "cut", "held", "held", "held", "innocents",
	    "done");
	printf("%-10s %7s %8s %8s %8s %8s %9s %9s %9s %8s\n", "", "", "", "",
	    "innoc.", "innoc.", "mean s", "most s", "refused", "");
	run_one("tracking", seed, true);
	run_one("none", seed, false);
	return 0;
}
