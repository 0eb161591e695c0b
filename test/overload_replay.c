#include <math.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "overload_engine.h"
#include "overload_replay.h"
#include "route/admit.h"
#include "route/choose.h"
#include "route/overload.h"
#include "route/peers.h"

#define MSEC JH_USEC_PER_MSEC
#define SEC JH_USEC_PER_SEC
#define ROUTERS 32
#define MAX_ENGINES 64
#define SUBJECTS 955
#define KEPT_USEC (6 * SEC) /* a prefix is cached after its last use */
#define START (100 * SEC)
#define ARRIVALS_USEC (18 * SEC)
#define END (START + 30 * SEC)
#define TICK_USEC (1 * MSEC)

static const uint64_t targets[] = {500 * MSEC, 1500 * MSEC};

struct replay_request {
	struct engine_job job;
	uint64_t arrived, return_at, sent_at, ready_at;
	uint32_t shared;
	unsigned int subject, retries, attempts;
	struct router *router;
	struct engine *engine;
	struct jh_choose_request choose;
	struct jh_choice choice;
	struct jh_worker_load load;
	bool big;
};

struct router {
	struct jh_fleet *fleet;
	struct jh_chooser *chooser;
	struct jh_peers *peers;
	struct jh_overload *overload;
	bool lost;
};

struct replay {
	enum replay_load load;
	bool active;
	unsigned int engines;
	struct engine engine[MAX_ENGINES];
	uint64_t subject_used[MAX_ENGINES][SUBJECTS];
	struct router router[ROUTERS];
	GPtrArray *waiting; /* for their retry */
	GRand *rand;
	uint64_t now, number;
	struct replay_result *out;
};

static uint64_t
time_left(const struct replay *s, const struct replay_request *q)
{
	uint64_t timeout = (q->job.rank == 0 ? 12 : 4) * SEC;

	return timeout - MIN(timeout, s->now - q->arrived);
}

static struct router *
any_router(struct replay *s)
{
	struct router *r;

	do
		r = &s->router[g_rand_int(s->rand) % ROUTERS];
	while (r->lost);
	return r;
}

static struct jh_worker *
worker_of(const struct replay_request *q)
{
	return jh_fleet_at(q->router->fleet, q->engine->index);
}

static void
end_request(struct replay *s, struct replay_request *q, bool served)
{
	/* Late and on time, by rank. */
	static const double values[][2] = {{0.11, 2.7}, {0.24, 1.6}};
	bool on_time = q->ready_at - q->arrived <= targets[q->job.rank];
	struct replay_rank *r = &s->out->rank[q->job.rank];

	r->big += q->big;
	r->big_served += q->big && served;
	r->refused += !served;
	r->on_time += served && on_time;
	r->late += served && !on_time;
	s->out->value += served ? values[q->job.rank][on_time] : 0;
	g_free(q);
}

/* A client honours a delay of up to a third of its time, and retries once. */
static void
refuse(struct replay *s, struct replay_request *q, double seconds)
{
	if (s->load == REPLAY_RETRY_AT_ONCE)
		seconds = 0;
	if (q->retries++ > 0 || (double)time_left(s, q) / 3e6 < seconds) {
		end_request(s, q, false);
		return;
	}
	q->return_at = s->now + (uint64_t)(seconds * 1e6);
	g_ptr_array_add(s->waiting, q);
}

static void
release(struct replay_request *q)
{
	jh_worker_release_load(worker_of(q), &q->load);
	g_ptr_array_remove(q->engine->jobs, q);
}

/* The decisions of src/gateway/attempt.c. */
static bool
decide(struct replay *s, struct replay_request *q, double *seconds)
{
	struct router *r = q->router;
	struct jh_choice *c = &q->choice;
	struct jh_overload_request o = {.service = 1,
	    .rank = q->job.rank,
	    .admit = {.target = targets[q->job.rank],
		.time_left = time_left(s, q),
		.hash = g_rand_int(s->rand)}};
	struct jh_admit_decision d;

	if (s->active)
		return jh_overload_admit(r->overload, s->now, r->chooser,
		    r->fleet, &q->choose, c, &o, seconds);
	o.admit.expected_ttft = c->expected_ttft;
	o.admit.queue_wait = c->expected_ttft - c->idle_ttft;
	jh_admit(&o.admit, &d);
	*seconds = d.retry_seconds;
	if (d.admitted)
		return true;
	q->choose.minimise_ttft = true;
	jh_choose(r->chooser, r->fleet, s->now, &q->choose, c);
	return c->expected_ttft - c->idle_ttft <= 60 * MSEC;
}

static void start(struct replay *s, struct replay_request *q);

static void
choose_another(
    struct replay *s, struct replay_request *q, const struct jh_worker *w)
{
	struct jh_choose_request *c = &q->choose;

	if (c->n_excluded == JH_CHOOSE_MAX_EXCLUDED || q->attempts == 3) {
		refuse(s, q, 0.3);
		return;
	}
	c->excluded[c->n_excluded++] = w->hash;
	start(s, q);
}

static void
fail_attempt(struct replay *s, struct replay_request *q, struct jh_worker *w)
{
	if (s->active)
		jh_worker_unreachable(w, s->now, g_rand_int(s->rand));
	else
		jh_worker_attempt_failed(w, s->now);
	choose_another(s, q, w);
}

static void
start(struct replay *s, struct replay_request *q)
{
	struct router *r = q->router;
	double seconds = 0.3;
	struct jh_worker *w;
	struct engine *e;
	guint i;

	jh_choose(r->chooser, r->fleet, s->now, &q->choose, &q->choice);
	if (q->choice.worker == NULL ||
	    (q->attempts == 0 && !decide(s, q, &seconds))) {
		refuse(s, q, seconds);
		return;
	}
	w = q->choice.worker;
	for (i = 0; jh_fleet_at(r->fleet, i) != w; i++)
		;
	e = &s->engine[i];
	if (s->now < e->down_until) {
		s->out->no_connection++;
		fail_attempt(s, q, w);
		return;
	}
	q->attempts++;
	s->out->arrivals++;
	if (!engine_accepts(e)) {
		s->out->declined++;
		w->backoff_until = MAX(w->backoff_until, s->now + 100 * MSEC);
		choose_another(s, q, w);
		return;
	}
	q->engine = e;
	q->sent_at = s->now;
	q->job.admitted = q->job.begun = false;
	q->job.done = 0;
	q->job.left = q->job.own;
	if (s->now - s->subject_used[e->index][q->subject] > KEPT_USEC)
		q->job.left += q->shared;
	q->job.held = q->job.own + q->shared;
	q->load.prefill = (uint64_t)q->job.own + q->choice.uncached;
	q->load.urgent = q->job.rank == 0 ? q->load.prefill : 0;
	q->load.held = jh_choose_held_tokens(&q->choose);
	jh_worker_add_load(w, &q->load);
	jh_chooser_sent(r->chooser, s->now, &q->choose, &q->choice);
	g_ptr_array_add(e->jobs, q);
}

static void
first_event(void *arg, struct engine_job *j)
{
	struct replay_request *q = (struct replay_request *)j;
	struct replay *s = arg;
	struct jh_worker *w = worker_of(q);
	uint64_t took = s->now - q->sent_at;
	double excess = (double)took - (double)q->choice.idle_ttft;

	s->subject_used[q->engine->index][q->subject] = s->now;
	if (q->ready_at == 0)
		q->ready_at = s->now;
	jh_worker_release_prefill(w, &q->load);
	w->ttft_excess += 0.4 * (MAX(excess, 0) - w->ttft_excess);
	w->ttft_excess_at = s->now;
	jh_worker_responded(w, false);
	w->responded_at = s->now;
	if (s->active)
		jh_overload_learn(w, q->job.rank, q->choice.nominal_ttft, took);
}

static void
ended(void *arg, struct engine_job *j)
{
	struct replay_request *q = (struct replay_request *)j;

	release(q);
	end_request(arg, q, true);
}

static void
crash(struct replay *s, struct engine *e)
{
	struct replay_request *q;
	struct jh_worker *w;

	e->down_until = s->now + SEC;
	memset(s->subject_used[e->index], 0, sizeof(s->subject_used[0]));
	while (e->jobs->len > 0) {
		q = g_ptr_array_index(e->jobs, e->jobs->len - 1);
		w = worker_of(q);
		release(q);
		q->choose.n_excluded = 0;
		fail_attempt(s, q, w);
	}
}

static void
arrive(struct replay *s, unsigned int rank)
{
	struct replay_request *q = g_new0(struct replay_request, 1);
	unsigned int subjects =
	    s->load == REPLAY_HOT_PREFIX && g_rand_int(s->rand) % 2 ? 1
								    : SUBJECTS;
	double size = -log(1 - g_rand_double(s->rand) * 0.99);

	q->job.rank = rank;
	q->arrived = s->now;
	q->big = size > 2.2;
	q->subject = rank == 0 ? 0 : g_rand_int(s->rand) % subjects;
	q->job.own = 1 + (uint32_t)(size * (rank == 0 ? 640 : 2950));
	q->job.output = 1 + (uint32_t)(size * (rank == 0 ? 36 : 7));
	q->shared = rank == 0 ? 198 : 3780;
	q->router = any_router(s);
	q->choose = (struct jh_choose_request){.service = "e",
	    .is_engine = true,
	    .model = "m",
	    .own_tokens = q->job.own,
	    .output_tokens = q->job.output,
	    .cache_tokens = ENGINE_CAPACITY,
	    .overload = s->active,
	    .rank = rank,
	    .prefix = {{rank * 10000 + q->subject + 1, q->shared}},
	    .n_prefixes = 1};
	s->out->rank[rank].sent++;
	start(s, q);
}

/* Requests a second at that time after the start. */
static double
rate_at(const struct replay *s, unsigned int rank, double t)
{
	double rate = rank == 0 ? 277 : 64;

	if (s->load != REPLAY_DAY)
		return rank == 1 && t > 4 && t < 10 ? 3 * rate : rate;
	if (rank == 1)
		return t > 4.6 && t < 9.8 ? 2 * rate : rate;
	if (t > 6.4 && t < 12.2)
		rate *= 1 + 3.0 / 16;
	return t > 14 && t < 17.3 ? 1.8 * rate : rate;
}

static void
deliver_report(struct replay *s, struct router *from, uint64_t id)
{
	struct jh_peer_report reports[MAX_ENGINES];
	struct jh_placement placed[80];
	size_t n, i, k;

	for (i = 0; i < s->engines; i++) {
		const struct jh_worker *w = jh_fleet_at(from->fleet, i);
		reports[i] = (struct jh_peer_report){.worker = w->hash,
		    .running = w->running,
		    .prefill_tokens = (uint32_t)w->prefill_tokens,
		    .held_tokens = (uint32_t)w->held_tokens,
		    .weights = 1,
		    .urgent_tokens = (uint32_t)w->urgent_tokens,
		    .unreachable = s->active &&
				   jh_worker_announces_unreachable(w, s->now)};
	}
	n = jh_chooser_take_announcements(from->chooser, placed, 80);
	s->number++;
	for (k = 0; k < ROUTERS; k++) {
		struct router *to = &s->router[k];
		if (to == from || to->lost)
			continue;
		jh_peers_receive(to->peers, to->fleet, s->now, id, s->number,
		    reports, s->engines);
		jh_peers_expire(
		    to->peers, to->fleet, s->now, JH_PEERS_TIMEOUT_USEC);
		for (i = 0; i < n; i++)
			jh_chooser_add_placement(
			    to->chooser, s->now, &placed[i]);
	}
}

static void
happen(struct replay *s, uint64_t ms)
{
	static const uint64_t crashes[] = {4000, 7500, 11000};
	size_t i, k;

	for (i = 0; s->load == REPLAY_DAY && i < G_N_ELEMENTS(crashes); i++)
		for (k = i; ms == crashes[i] && k < s->engines; k += 3)
			if (k * 10 < s->engines * 9)
				crash(s, &s->engine[k]);
	for (i = 0; i < ROUTERS / 2; i++)
		if (s->load == REPLAY_LOST_ROUTERS && ms == 6000)
			s->router[i].lost = true;
	for (i = 0; i < ROUTERS; i++)
		if (ms % 200 == i * 6 && !s->router[i].lost)
			deliver_report(s, &s->router[i], i + 1);
}

static void
tick(struct replay *s)
{
	static const struct engine_ops ops = {first_event, ended};
	uint64_t ms = (s->now - START) / MSEC;
	guint i;

	happen(s, ms);
	for (i = 0; i < 2 && s->now < START + ARRIVALS_USEC; i++)
		if (g_rand_double(s->rand) * 1000 <
		    rate_at(s, i, (double)ms / 1000))
			arrive(s, i);
	for (i = s->waiting->len; i > 0; i--) {
		struct replay_request *q = g_ptr_array_index(s->waiting, i - 1);
		if (s->now < q->return_at)
			continue;
		g_ptr_array_remove_index_fast(s->waiting, i - 1);
		q->attempts = 0;
		q->choose.n_excluded = 0;
		q->choose.minimise_ttft = false;
		q->router = any_router(s);
		start(s, q);
	}
	for (i = 0; i < s->engines; i++)
		engine_run(&s->engine[i], s->now, &ops, s);
}

static void
add_router(const struct replay *s, struct router *r)
{
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	struct jh_choose_topology topology = {"a", regions};
	char id[16];
	size_t i;

	g_hash_table_insert(regions, "a", "r");
	r->fleet = jh_fleet_create();
	r->chooser = jh_chooser_create(&topology);
	r->peers = jh_peers_create();
	r->overload = jh_overload_create();
	g_hash_table_unref(regions);
	for (i = 0; i < s->engines; i++) {
		struct jh_listed_worker l = {.id = id,
		    .service = "e",
		    .zone = "a",
		    .slots = ENGINE_SLOTS,
		    .models = {{"m", 1}},
		    .n_models = 1};
		g_snprintf(id, sizeof(id), "e%02u", (unsigned int)i);
		jh_fleet_update(r->fleet, START, &l);
	}
}

void
replay_run(enum replay_load load, bool active, unsigned int engines,
    struct replay_result *out)
{
	struct replay *s = g_new0(struct replay, 1);
	unsigned int i;

	*out = (struct replay_result){0};
	s->load = load;
	s->active = active;
	s->engines = engines;
	s->out = out;
	s->rand = g_rand_new_with_seed(1);
	s->waiting = g_ptr_array_new();
	for (i = 0; i < engines; i++)
		s->engine[i] = (struct engine){.index = i,
		    .speed = 0.7 + (i % 11) / 10.0,
		    .jobs = g_ptr_array_new()};
	for (i = 0; i < ROUTERS; i++)
		add_router(s, &s->router[i]);
	for (s->now = START; s->now < END; s->now += TICK_USEC)
		tick(s);
	for (i = 0; i < ROUTERS; i++) {
		jh_chooser_destroy(s->router[i].chooser);
		jh_peers_destroy(s->router[i].peers);
		jh_overload_destroy(s->router[i].overload);
		jh_fleet_destroy(s->router[i].fleet);
	}
	for (i = 0; i < engines; i++)
		g_ptr_array_free(s->engine[i].jobs, TRUE);
	g_ptr_array_free(s->waiting, TRUE);
	g_rand_free(s->rand);
	g_free(s);
}
