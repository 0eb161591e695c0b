#include <math.h>

#include <glib.h>
#include <xxhash.h>

#include "route/rate_limits.h"

/* Demand is the number of requests in the busier of the last two such steps. */
#define DEMAND_STEP_USEC (5 * JH_USEC_PER_SEC)
#define MAX_DEMAND_LEVEL 16

/* Weight of a process without demand; one with the least demand has 1. */
#define IDLE_WEIGHT 0.25

/*
 * Time for which a limit is kept that has ended, or whose worker is not in the
 * fleet. Its tokens count if the worker names a limit again.
 */
#define KEEP_USEC (10 * JH_USEC_PER_SEC)

/* A rounding error must not hold back a request. */
#define WHOLE_TOKEN 0.999999

struct peer {
	uint64_t id;
	uint64_t silent_at; /* counts as silent then */
	bool heard; /* since it was added */
};

/* A peer's demand for one worker. */
struct claim {
	uint64_t peer;
	unsigned int demand; /* level */
	uint64_t until; /* when it lapses unless it is repeated */
};

/* What a process may use of a limit: a token bucket. */
struct portion {
	double rate; /* requests a second */
	double burst; /* most tokens */
};

struct limit {
	uint64_t worker;
	uint64_t started_ms;
	bool limited;
	double rate; /* requests a second, JH_RATE_LIMITS_MIN or more */
	uint64_t observed_at; /* the newest response of any process on it */
	/* The newest response to this process: see struct jh_rate_record. */
	bool own_observed, own_limited;
	double own_rate;
	uint64_t own_at;
	GArray *claims; /* struct claim */
	/* Until then, all peers count as claimants: they have not said yet. */
	uint64_t claims_known_at;
	uint64_t demand_step; /* number of the step, by time */
	unsigned int demand, demand_before; /* requests, this step and before */
	struct portion share; /* in use */
	struct portion raised; /* in use from raise_at on */
	uint64_t raise_at; /* 0: the share is not to be raised */
	double tokens;
	uint64_t tokens_at; /* when they were last counted */
	uint64_t keep_until;
};

/* A process that may have a share of a limit. */
struct claimant {
	bool idle;
	uint64_t score; /* rank among those that are idle, or are not */
	double weight;
	bool self;
};

struct jh_rate_limits {
	uint64_t id; /* of this process */
	uint64_t settled_at; /* it knows the limits of before its start then */
	GHashTable *limits; /* by worker */
	GHashTable *peers; /* by id */
};

static void
free_limit(void *p)
{
	struct limit *e = p;

	g_array_free(e->claims, TRUE);
	g_free(e);
}

struct jh_rate_limits *
jh_rate_limits_create(uint64_t now)
{
	struct jh_rate_limits *l = g_new0(struct jh_rate_limits, 1);

	l->settled_at = now + JH_RATE_LIMITS_RAISE_USEC;
	l->limits = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, free_limit);
	l->peers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return l;
}

void
jh_rate_limits_destroy(struct jh_rate_limits *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->limits);
	g_hash_table_destroy(l->peers);
	g_free(l);
}

void
jh_rate_limits_set_self(struct jh_rate_limits *l, uint64_t id)
{
	l->id = id;
}

void
jh_rate_limits_add_peer(struct jh_rate_limits *l, uint64_t now, uint64_t id)
{
	struct peer *p = g_new0(struct peer, 1);

	p->id = id;
	p->silent_at = now + JH_RATE_LIMITS_SILENT_USEC;
	g_hash_table_replace(l->peers, &p->id, p);
}

void
jh_rate_limits_remove_peer(struct jh_rate_limits *l, uint64_t id)
{
	g_hash_table_remove(l->peers, &id);
}

void
jh_rate_limits_peer_heard(struct jh_rate_limits *l, uint64_t now, uint64_t id)
{
	struct peer *p = g_hash_table_lookup(l->peers, &id);

	if (p == NULL)
		return;
	p->heard = true;
	p->silent_at = now + JH_RATE_LIMITS_SILENT_USEC;
}

static struct limit *
find_limit(const struct jh_rate_limits *l, uint64_t worker)
{
	return g_hash_table_lookup(l->limits, &worker);
}

/*
 * Finds the limit of this start of the worker, or creates it. Returns NULL if a
 * later start is known.
 */
static struct limit *
get_limit(
    struct jh_rate_limits *l, uint64_t now, uint64_t worker, uint64_t started)
{
	struct limit *e = find_limit(l, worker);

	if (e != NULL && e->started_ms > started)
		return NULL;
	if (e == NULL || e->started_ms < started) {
		e = g_new0(struct limit, 1);
		e->worker = worker;
		e->started_ms = started;
		e->claims = g_array_new(FALSE, FALSE, sizeof(struct claim));
		e->tokens_at = now;
		e->keep_until = now + KEEP_USEC;
		g_hash_table_replace(l->limits, &e->worker, e);
	}
	return e;
}

static void
advance_demand(struct limit *e, uint64_t now)
{
	uint64_t step = now / DEMAND_STEP_USEC;

	if (step == e->demand_step)
		return;
	e->demand_before = step == e->demand_step + 1 ? e->demand : 0;
	e->demand = 0;
	e->demand_step = step;
}

/* The number of binary digits of the demand, so that small changes are none. */
static unsigned int
demand_level(struct limit *e, uint64_t now)
{
	unsigned int n, level = 0;

	advance_demand(e, now);
	for (n = MAX(e->demand, e->demand_before); n > 0; n /= 2)
		level++;
	return MIN(level, MAX_DEMAND_LEVEL);
}

static void
refill(struct limit *e, uint64_t now)
{
	if (now > e->tokens_at)
		e->tokens += e->share.rate * (double)(now - e->tokens_at) / 1e6;
	e->tokens = MIN(e->tokens, e->share.burst);
	e->tokens_at = now;
}

static const struct claim *
find_claim(const struct limit *e, uint64_t peer)
{
	guint i;

	for (i = 0; i < e->claims->len; i++) {
		const struct claim *c =
		    &g_array_index(e->claims, struct claim, i);
		if (c->peer == peer)
			return c;
	}
	return NULL;
}

/* What is not known of a peer is taken to be as with this process. */
static unsigned int
peer_demand(const struct limit *e, const struct peer *p, uint64_t now,
    unsigned int own_demand)
{
	const struct claim *c = find_claim(e, p->id);

	if (c != NULL && now < c->until)
		return c->demand;
	return p->heard && now >= e->claims_known_at ? 0 : MAX(own_demand, 1);
}

static struct claimant
make_claimant(const struct limit *e, uint64_t id, unsigned int demand)
{
	uint64_t both[2] = {e->worker, id};

	return (struct claimant){.idle = demand == 0,
	    .score = XXH3_64bits(both, sizeof(both)),
	    .weight = demand == 0 ? IDLE_WEIGHT : ldexp(1, (int)demand - 1)};
}

/* Those with demand come first. */
static int
compare_claimants(gconstpointer a, gconstpointer b)
{
	const struct claimant *x = a, *y = b;

	if (x->idle != y->idle)
		return x->idle ? 1 : -1;
	return (x->score < y->score) - (x->score > y->score);
}

static GArray *
list_claimants(const struct jh_rate_limits *l, struct limit *e, uint64_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct claimant));
	unsigned int own = demand_level(e, now);
	struct claimant c = make_claimant(e, l->id, own);
	const struct peer *p;
	GHashTableIter it;

	c.self = true;
	g_array_append_val(out, c);
	g_hash_table_iter_init(&it, l->peers);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&p)) {
		if (now >= p->silent_at)
			continue;
		c = make_claimant(e, p->id, peer_demand(e, p, now, own));
		g_array_append_val(out, c);
	}
	g_array_sort(out, compare_claimants);
	return out;
}

/* The requests that all processes together may send at one moment. */
static unsigned int
burst_of_all(const struct limit *e)
{
	return (unsigned int)(JH_RATE_LIMITS_BURST_SECONDS *
			      MIN(e->rate, 1e6)) +
	       JH_RATE_LIMITS_BURST;
}

/* Divides the limit; returns this process's share. */
static struct portion
divide(const struct jh_rate_limits *l, struct limit *e, uint64_t now)
{
	GArray *claimants = list_claimants(l, e, now);
	unsigned int all = burst_of_all(e);
	struct portion share = {0, 0};
	const struct claimant *c;
	double sum = 0;
	guint i, n;

	n = MIN(claimants->len, all);
	for (i = 0; i < n; i++)
		sum += g_array_index(claimants, struct claimant, i).weight;
	for (i = 0; i < n; i++) {
		c = &g_array_index(claimants, struct claimant, i);
		if (!c->self)
			continue;
		share.rate = e->rate * c->weight / sum;
		share.burst = 1 + (all - n) * c->weight / sum;
	}
	g_array_free(claimants, TRUE);
	return share;
}

static struct portion
smaller(struct portion a, struct portion b)
{
	return (struct portion){MIN(a.rate, b.rate), MIN(a.burst, b.burst)};
}

/* A smaller share is in use at once, a larger one only after a time. */
static void
update_share(const struct jh_rate_limits *l, struct limit *e, uint64_t now)
{
	struct portion share = divide(l, e, now);
	bool larger =
	    share.rate > e->share.rate || share.burst > e->share.burst;

	refill(e, now);
	e->share = smaller(e->share, share);
	e->tokens = MIN(e->tokens, e->share.burst);
	if (!larger) {
		e->raise_at = 0;
		return;
	}
	if (e->raise_at == 0) {
		e->raise_at = now + JH_RATE_LIMITS_RAISE_USEC;
		e->raised = share;
	}
	e->raised = smaller(e->raised, share);
	if (now < e->raise_at)
		return;
	e->share = e->raised;
	e->raise_at = 0;
}

/* Takes over what a response says. */
static void
set_rate(struct jh_rate_limits *l, struct limit *e, uint64_t now, bool limited,
    double rate)
{
	bool is_new = e->rate == 0, begins = limited && !e->limited;

	e->limited = limited;
	if (!limited)
		return;
	e->rate = MAX(rate, JH_RATE_LIMITS_MIN);
	if (!begins) {
		update_share(l, e, now);
		return;
	}
	refill(e, now);
	advance_demand(e, now);
	e->demand = MAX(e->demand, 1);
	e->claims_known_at = now + JH_RATE_LIMITS_RAISE_USEC;
	e->raise_at = 0;
	e->share = divide(l, e, now);
	e->tokens = MIN(e->tokens, e->share.burst);
	if (is_new && now >= l->settled_at)
		e->tokens = e->share.burst;
}

void
jh_rate_limits_named(struct jh_rate_limits *l, uint64_t now, uint64_t worker,
    uint64_t started_ms, double limit)
{
	struct limit *e = get_limit(l, now, worker, started_ms);

	if (e == NULL)
		return;
	e->own_observed = e->own_limited = true;
	e->own_rate = limit;
	e->own_at = e->observed_at = now;
	set_rate(l, e, now, true, limit);
}

void
jh_rate_limits_not_named(struct jh_rate_limits *l, uint64_t now,
    uint64_t sent_at, uint64_t worker, uint64_t started_ms)
{
	struct limit *e = find_limit(l, worker);

	if (e == NULL || e->started_ms != started_ms ||
	    sent_at <= e->observed_at)
		return;
	e->own_observed = true;
	e->own_limited = false;
	e->own_at = e->observed_at = now;
	set_rate(l, e, now, false, 0);
}

double
jh_rate_limits_limit(const struct jh_rate_limits *l, uint64_t worker)
{
	const struct limit *e = find_limit(l, worker);

	return e != NULL && e->limited ? e->rate : -1;
}

double
jh_rate_limits_share(const struct jh_rate_limits *l, uint64_t worker)
{
	const struct limit *e = find_limit(l, worker);

	return e != NULL && e->limited ? e->share.rate : 0;
}

size_t
jh_rate_limits_count(const struct jh_rate_limits *l)
{
	GHashTableIter it;
	gpointer e;
	size_t n = 0;

	g_hash_table_iter_init(&it, l->limits);
	while (g_hash_table_iter_next(&it, NULL, &e))
		n += ((struct limit *)e)->limited;
	return n;
}

void
jh_rate_limits_request(struct jh_rate_limits *l, uint64_t now, uint64_t worker)
{
	struct limit *e = find_limit(l, worker);

	if (e == NULL)
		return;
	advance_demand(e, now);
	e->demand++;
}

uint64_t
jh_rate_limits_room_at(struct jh_rate_limits *l, uint64_t now, uint64_t worker)
{
	struct limit *e = find_limit(l, worker);

	if (e == NULL || !e->limited)
		return now;
	refill(e, now);
	if (e->share.rate == 0)
		return now + (uint64_t)(1e6 / e->rate);
	if (e->tokens >= WHOLE_TOKEN)
		return now;
	return now + 1 + (uint64_t)((1 - e->tokens) * 1e6 / e->share.rate);
}

void
jh_rate_limits_sent(struct jh_rate_limits *l, uint64_t now, uint64_t worker)
{
	struct limit *e = find_limit(l, worker);

	if (e == NULL)
		return;
	refill(e, now);
	e->tokens = MAX(e->tokens - 1, 0);
}

static void
drop_claims(struct limit *e, uint64_t now)
{
	guint i;

	for (i = e->claims->len; i > 0; i--) {
		if (now >= g_array_index(e->claims, struct claim, i - 1).until)
			g_array_remove_index_fast(e->claims, i - 1);
	}
}

void
jh_rate_limits_update(
    struct jh_rate_limits *l, uint64_t now, struct jh_fleet *fleet)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, l->limits);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct limit *e = value;
		if (e->limited && jh_fleet_find_hash(fleet, e->worker) != NULL)
			e->keep_until = now + KEEP_USEC;
		if (now >= e->keep_until) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		drop_claims(e, now);
		if (e->limited)
			update_share(l, e, now);
	}
}

static void
write_record(struct limit *e, uint64_t now, struct jh_rate_record *out)
{
	out->worker = e->worker;
	out->started_ms = e->started_ms;
	out->observed = e->own_observed;
	out->limited = e->own_observed && e->own_limited;
	out->limit = e->own_rate;
	out->age = now - e->own_at;
	out->demand = demand_level(e, now);
}

size_t
jh_rate_limits_export(const struct jh_rate_limits *l, uint64_t now,
    struct jh_rate_record *out, size_t max, size_t *next)
{
	size_t total = g_hash_table_size(l->limits), n = 0, i = 0;
	GHashTableIter it;
	gpointer e;

	if (*next >= total)
		*next = 0;
	g_hash_table_iter_init(&it, l->limits);
	while (n < max && g_hash_table_iter_next(&it, NULL, &e)) {
		if (i++ >= *next)
			write_record(e, now, &out[n++]);
	}
	*next = i;
	return n;
}

static void
set_claim(struct limit *e, uint64_t now, uint64_t peer, unsigned int demand)
{
	struct claim c = {.peer = peer,
	    .demand = MIN(demand, MAX_DEMAND_LEVEL),
	    .until = now + JH_RATE_LIMITS_SILENT_USEC};
	struct claim *known = (struct claim *)find_claim(e, peer);

	if (known != NULL)
		*known = c;
	else
		g_array_append_val(e->claims, c);
}

void
jh_rate_limits_merge(struct jh_rate_limits *l, uint64_t now, uint64_t peer,
    const struct jh_rate_record *r)
{
	uint64_t at = now - MIN(now, r->age);
	struct limit *e = find_limit(l, r->worker);

	/* What ended here may not be known, and need not be. */
	if ((e == NULL || e->started_ms < r->started_ms) && !r->limited)
		return;
	e = get_limit(l, now, r->worker, r->started_ms);
	if (e == NULL)
		return;
	set_claim(e, now, peer, r->demand);
	if (!r->observed || at <= e->observed_at)
		return;
	e->observed_at = at;
	e->keep_until = now + KEEP_USEC;
	set_rate(l, e, now, r->limited, r->limit);
}
