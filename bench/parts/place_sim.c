#include <string.h>

#include <jacinthhill/clock.h>

#include "place_cache.h"
#include "place_load.h"
#include "place_server.h"
#include "place_sim.h"

#define MANUALS_PER_WORKER 12
#define CACHE_TOKENS (2000ULL * 2000)

/* Entry daemon to agent and back, with the agent's decision. */
#define ATTEMPT_USEC 2000

/* Workers refuse a request whose first token would take longer. */
#define MAX_TTFT_USEC (5 * JH_USEC_PER_SEC)

#define EVENT_GAP_USEC (60 * JH_USEC_PER_SEC)
#define DOWN_USEC (5 * JH_USEC_PER_SEC)
#define CRASH_SHARE 12

/* Requests of the warm-up and of the measurement; limits of either duration. */
#define WARM_REQUESTS 40000
#define MIN_SPAN_USEC (240 * JH_USEC_PER_SEC)
#define MAX_SPAN_USEC (3000 * JH_USEC_PER_SEC)

/* Time for which an agent keeps a recorded width. */
#define WIDTH_USEC (10 * JH_USEC_PER_SEC)

/* Greatest recent width that an agent was sent for a manual. */
struct recorded_width {
	uint64_t key; /* worker << 32 | manual */
	uint32_t width;
	uint64_t at;
};

struct sim {
	const struct place_case *c;
	const struct jh_place_policy *policy;
	struct place_load *load;
	struct place_caches *caches;
	struct place_server *server;
	struct jh_placer **placer; /* by entry daemon */
	struct jh_place_worker *all_workers;
	GHashTable *widths;
	bool *seen; /* by node: a worker has computed it before */
	GRand *rand;
	uint32_t first_checked;
	struct place_result *out;
	uint64_t counted_from;
	uint64_t last_event;
};

static struct jh_placer *
make_placer(const struct sim *s, uint32_t i, uint64_t now)
{
	struct jh_placer *p =
	    jh_placer_create(s->policy, s->c->seed * 7919 + i * 104729 + now);

	jh_placer_set_workers(p, now, s->all_workers, s->c->workers);
	jh_placer_set_entry_daemons(p, s->c->region_entries);
	return p;
}

static void
create_workers(struct sim *s)
{
	uint32_t i, inside = s->c->region_workers;

	s->all_workers = g_new0(struct jh_place_worker, s->c->workers);
	for (i = 0; i < s->c->workers; i++) {
		s->all_workers[i].id = i;
		s->all_workers[i].region =
		    i < inside ? 0 : 1 + (i - inside) % (s->c->regions - 1);
		s->all_workers[i].prefill_rate = PLACE_PREFILL_RATE;
		s->all_workers[i].decode_rate =
		    PLACE_SLOTS * 1000000 / PLACE_TOKEN_USEC;
	}
}

static double
request_rate(const struct place_case *c)
{
	double slot_usec = (double)PLACE_DECODE_TOKENS * PLACE_TOKEN_USEC +
			   PLACE_QUESTION_TOKENS * 1e6 / PLACE_PREFILL_RATE;

	return c->load * c->region_workers * PLACE_SLOTS * 1e6 / slot_usec;
}

static struct recorded_width *
new_width(uint64_t key)
{
	struct recorded_width *w = g_new0(struct recorded_width, 1);

	w->key = key;
	return w;
}

static uint32_t
agent_width(struct sim *s, uint64_t now, uint32_t worker, uint32_t manual,
    uint32_t sent)
{
	uint64_t key = (uint64_t)worker << 32 | manual;
	struct recorded_width *w = g_hash_table_lookup(s->widths, &key);

	if (w == NULL) {
		g_hash_table_add(s->widths, new_width(key));
		w = g_hash_table_lookup(s->widths, &key);
	}
	if (sent >= w->width || now - w->at > WIDTH_USEC) {
		w->width = sent;
		w->at = now;
	}
	return w->width;
}

static void
count(struct place_stats *t, const struct place_arrival *a, uint64_t hit_tokens,
    uint64_t hit_bound, uint64_t recomputed, uint64_t first_token)
{
	float ms = (float)(first_token - a->at) / JH_USEC_PER_MSEC;

	t->prompt_tokens += jh_prefix_tokens(&a->prefix);
	t->hit_tokens += hit_tokens;
	t->hit_bound += hit_bound;
	t->recomputed += recomputed;
	g_array_append_val(t->ttft, ms);
}

static void
serve(struct sim *s, const struct place_arrival *a, uint64_t now,
    uint32_t worker, uint32_t *cached)
{
	const uint32_t node[2] = {a->manual, a->org};
	uint64_t hit_tokens = 0, hit_bound = 0, recomputed = 0, first_token,
		 window;
	bool prefix_cached = true;
	int i;

	for (i = 0; i < 2; i++) {
		uint32_t tokens = a->prefix.level[i].tokens;

		prefix_cached = prefix_cached &&
				place_caches_has(s->caches, worker, node[i]);
		if (prefix_cached)
			hit_tokens += tokens;
		else if (place_caches_holders(s->caches, node[i]) > 0)
			recomputed += tokens;
		if (s->seen[node[i]])
			hit_bound += tokens;
		s->seen[node[i]] = true;
	}
	for (i = 1; i >= 0; i--)
		place_caches_use(
		    s->caches, worker, node[i], a->prefix.level[i].tokens);
	first_token = place_server_take(&s->server[worker], now,
	    jh_prefix_tokens(&a->prefix) - hit_tokens, a->decode_tokens);
	*cached = (uint32_t)hit_tokens;
	if (a->at < s->counted_from)
		return;
	count(&s->out->all, a, hit_tokens, hit_bound, recomputed, first_token);
	window = (a->at - s->last_event) / PLACE_WINDOW_USEC;
	if (s->last_event > 0 && window < PLACE_WINDOWS)
		count(&s->out->after[window], a, hit_tokens, hit_bound,
		    recomputed, first_token);
}

static uint32_t
cached_tokens(
    const struct sim *s, const struct place_arrival *a, uint32_t worker)
{
	if (!place_caches_has(s->caches, worker, a->manual))
		return 0;
	if (!place_caches_has(s->caches, worker, a->org))
		return a->prefix.level[0].tokens;
	return a->prefix.level[0].tokens + a->prefix.level[1].tokens;
}

/*
 * Offers the request to a candidate. Fills *refusal if the worker refuses it
 * as busy, else leaves it unchanged.
 */
static bool
attempt(struct sim *s, const struct place_arrival *a, uint64_t now,
    const struct jh_candidate *c, struct jh_place_refusal *refusal)
{
	uint64_t first_token;
	struct jh_placer *p = s->placer[a->entry];
	uint32_t w = (uint32_t)c->worker;
	struct place_server *server = &s->server[w];
	struct jh_place_response response = {
	    .prefix = &a->prefix, .has_wait = true};

	if (a->at >= s->counted_from)
		s->out->all.attempts++;
	if (now < server->down_until) {
		response.has_wait = false;
		response.outcome = JH_PLACE_FAILED;
		jh_placer_learn(p, now, c->worker, &response);
		return false;
	}
	response.wait = place_server_wait(server, now);
	response.width = agent_width(
	    s, now, w, a->manual, jh_placer_width(p, now, &a->prefix));
	response.has_cached = true;
	response.cached_tokens = cached_tokens(s, a, w);
	first_token = response.wait +
		      (jh_prefix_tokens(&a->prefix) - response.cached_tokens) *
			  1000000 / PLACE_PREFILL_RATE;
	if (first_token > MIN(c->max_wait, MAX_TTFT_USEC)) {
		response.outcome = JH_PLACE_BUSY;
		jh_placer_learn(p, now, c->worker, &response);
		refusal->worker = w;
		refusal->wait = response.wait;
		refusal->cached_tokens = response.cached_tokens;
		return false;
	}
	serve(s, a, now, w, &response.cached_tokens);
	response.wait = place_server_wait(server, now);
	jh_placer_learn(p, now, c->worker, &response);
	return true;
}

static void
place(struct sim *s, const struct place_arrival *a)
{
	struct jh_place_request r = {.prefix = &a->prefix,
	    .prefill_tokens = a->prefix.level[2].tokens,
	    .decode_tokens = PLACE_DECODE_TOKENS};
	struct jh_candidate c[JH_PLACE_MAX_CANDIDATES];
	struct jh_place_refusal known_refusals[JH_PLACE_MAX_CANDIDATES],
	    refusal;
	uint64_t now = a->at;
	uint32_t cached;
	size_t i, n;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		r.after_refusals = pass > 0;
		r.refusals = known_refusals;
		n = jh_placer_choose(
		    s->placer[a->entry], now, &r, c, G_N_ELEMENTS(c));
		for (i = 0; i < n; i++) {
			now += ATTEMPT_USEC;
			refusal.worker = UINT64_MAX;
			if (attempt(s, a, now, &c[i], &refusal))
				return;
			if (pass == 0 && refusal.worker != UINT64_MAX)
				known_refusals[r.n_refusals++] = refusal;
		}
	}
	if (a->at >= s->counted_from)
		s->out->all.refused_by_all++;
	serve(s, a, now, n > 0 ? (uint32_t)c[0].worker : 0, &cached);
}

/* Uses the worker with the earliest first token, known exactly for all. */
static void
place_with_knowledge(struct sim *s, const struct place_arrival *a)
{
	uint32_t i, w, best = 0, cached, n = s->c->region_workers;
	uint64_t least_cost = UINT64_MAX, now = a->at + ATTEMPT_USEC;

	s->first_checked = (s->first_checked + 7919) % n;
	for (i = 0; i < n; i++) {
		uint64_t cost;

		w = (s->first_checked + i) % n;
		if (now < s->server[w].down_until)
			continue;
		cost = place_server_wait(&s->server[w], now);
		if (cost >= least_cost)
			continue;
		if (!place_caches_has(s->caches, w, a->manual))
			cost += a->prefix.level[0].tokens * 1000000ULL /
				PLACE_PREFILL_RATE;
		if (!place_caches_has(s->caches, w, a->org))
			cost += a->prefix.level[1].tokens * 1000000ULL /
				PLACE_PREFILL_RATE;
		if (cost < least_cost) {
			least_cost = cost;
			best = w;
		}
	}
	if (a->at >= s->counted_from)
		s->out->all.attempts++;
	serve(s, a, now, best, &cached);
}

static void
crash_workers(struct sim *s, uint64_t now)
{
	uint32_t i, w, n = s->c->region_workers;

	for (i = 0; i < MAX(n / CRASH_SHARE, 1); i++) {
		w = (uint32_t)g_rand_int_range(s->rand, 0, (gint32)n);
		place_server_crash(&s->server[w], now + DOWN_USEC);
		place_caches_clear(s->caches, w);
	}
}

static void
start_event(struct sim *s, uint64_t now)
{
	uint32_t i;

	s->last_event = now;
	switch (s->c->event) {
	case PLACE_STEADY:
		break;
	case PLACE_SHIFT:
		place_load_shift(s->load);
		break;
	case PLACE_HERD:
		for (i = 0; s->policy != NULL && i < s->c->region_entries;
		     i++) {
			jh_placer_destroy(s->placer[i]);
			s->placer[i] = make_placer(s, i, now);
		}
		break;
	case PLACE_CRASH:
		crash_workers(s, now);
		break;
	}
}

static void
run(struct sim *s)
{
	uint64_t span = (uint64_t)(WARM_REQUESTS * 1e6 / request_rate(s->c));
	struct place_arrival a;

	span = CLAMP(span, MIN_SPAN_USEC, MAX_SPAN_USEC);
	s->counted_from = span;
	for (;;) {
		place_load_next(s->load, &a);
		if (a.at >= 2 * span)
			break;
		if (a.at >= span && s->c->event != PLACE_STEADY &&
		    a.at - MAX(s->last_event, span) >= EVENT_GAP_USEC)
			start_event(s, a.at);
		if (s->policy == NULL)
			place_with_knowledge(s, &a);
		else
			place(s, &a);
	}
}

static guint
hash_key(gconstpointer key)
{
	return (guint)((*(const uint64_t *)key * 0x9e3779b97f4a7c15ULL) >> 32);
}

void
place_sim_run(const struct place_case *c, const struct jh_place_policy *policy,
    struct place_result *out)
{
	struct sim s = {.c = c, .policy = policy, .out = out};
	uint32_t i, manuals = MANUALS_PER_WORKER * c->region_workers;

	memset(out, 0, sizeof(*out));
	place_stats_init(&out->all);
	for (i = 0; i < PLACE_WINDOWS; i++)
		place_stats_init(&out->after[i]);
	s.load = place_load_create(
	    c->seed, manuals, c->region_entries, request_rate(c));
	s.caches = place_caches_create(
	    c->region_workers, place_load_nodes(s.load), CACHE_TOKENS);
	s.server = g_new0(struct place_server, c->region_workers);
	s.seen = g_new0(bool, place_load_nodes(s.load));
	s.widths = g_hash_table_new_full(hash_key, g_int64_equal, g_free, NULL);
	s.rand = g_rand_new_with_seed((guint32)c->seed + 1);
	create_workers(&s);
	s.placer = g_new0(struct jh_placer *, c->region_entries);
	for (i = 0; policy != NULL && i < c->region_entries; i++)
		s.placer[i] = make_placer(&s, i, 0);
	run(&s);
	out->bytes = policy == NULL ? 0 : jh_placer_bytes(s.placer[0]);
	for (i = 0; i < c->region_entries; i++)
		jh_placer_destroy(s.placer[i]);
	g_free(s.placer);
	g_free(s.all_workers);
	g_rand_free(s.rand);
	g_hash_table_destroy(s.widths);
	g_free(s.seen);
	g_free(s.server);
	place_caches_destroy(s.caches);
	place_load_destroy(s.load);
}

void
place_result_clear(struct place_result *r)
{
	int i;

	place_stats_clear(&r->all);
	for (i = 0; i < PLACE_WINDOWS; i++)
		place_stats_clear(&r->after[i]);
}
