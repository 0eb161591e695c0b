#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "gateway/quota_message.h"

#include "quota_fleet.h"

#define QUOTA 77
#define MAX_ROUTERS 300
#define STEP_USEC (5 * JH_USEC_PER_MSEC)
#define ROUND_USEC (50 * JH_USEC_PER_MSEC)
#define WINDOW_SECONDS 8
#define WINDOW_STEPS (WINDOW_SECONDS * JH_USEC_PER_SEC / STEP_USEC)
#define PATIENCE_USEC 1333333 /* a third of a timeout of 4 s */
#define SLACK 110000
#define BURST_SLACK_PART 0.25 /* as in gateway/quota.c */
#define OVERSHOOT 1.1
#define RUN_SECONDS 30
#define STEPS (RUN_SECONDS * JH_USEC_PER_SEC / STEP_USEC)
#define MESSAGE_LEN 400

struct request {
	uint64_t at;
	double cost;
	bool retried;
};

struct datagram {
	uint64_t at;
	unsigned int from, to;
	uint64_t from_id, to_id;
	size_t len;
	unsigned char bytes[MESSAGE_LEN];
};

struct router {
	struct jh_quota_ledger *ledger;
	uint64_t id;
	size_t next;
};

struct fleet {
	const struct quota_fleet_spec *spec;
	GRand *rand;
	struct router router[MAX_ROUTERS];
	uint64_t now, ids;
	GArray *datagrams, *requests; /* not there yet */
	double ran[STEPS];
	double next_at; /* seconds */
	double level, ideal; /* of the central bucket, and what it admitted */
	struct quota_fleet_result result;
	unsigned int asked, refused, ideal_refused;
};

/* The clock of a router, which runs fast or slow. */
static uint64_t
clock_of(const struct fleet *f, unsigned int i)
{
	double drift = i % 2 == 0 ? f->spec->drift : -f->spec->drift;

	return 1000 * JH_USEC_PER_SEC +
	       (uint64_t)((double)f->now * (1 + drift));
}

static void
set_quota(struct fleet *f, unsigned int i, double part)
{
	struct jh_quota_rate bucket = {f->spec->rate * part,
	    f->spec->burst * part + SLACK * BURST_SLACK_PART};

	jh_quota_ledger_set(
	    f->router[i].ledger, clock_of(f, i), QUOTA, &bucket);
}

static void
start(struct fleet *f, unsigned int i)
{
	struct router *r = &f->router[i];
	unsigned int j;
	uint64_t old = r->id;

	jh_quota_ledger_destroy(r->ledger);
	r->ledger = jh_quota_ledger_create(clock_of(f, i));
	r->id = ++f->ids;
	jh_quota_ledger_set_self(r->ledger, r->id);
	set_quota(f, i, 1);
	for (j = 0; j < f->spec->routers; j++) {
		if (j == i || f->router[j].ledger == NULL)
			continue;
		jh_quota_ledger_remove_peer(
		    f->router[j].ledger, clock_of(f, j), old);
		jh_quota_ledger_add_peer(f->router[j].ledger, r->id);
		jh_quota_ledger_add_peer(r->ledger, f->router[j].id);
	}
}

static bool
is_cut(const struct fleet *f, unsigned int a, unsigned int b)
{
	double now = (double)f->now / 1e6;
	unsigned int side = f->spec->routers / (f->spec->half ? 2 : 3);

	return now >= f->spec->cut_from && now < f->spec->cut_to &&
	       (a < side) != (b < side);
}

static void
announce(struct fleet *f, unsigned int i)
{
	struct router *r = &f->router[i];
	struct datagram d = {.from = i, .from_id = r->id};

	if ((f->now + i * STEP_USEC) % ROUND_USEC >= STEP_USEC ||
	    !jh_quota_ledger_is_due(r->ledger, clock_of(f, i)))
		return;
	d.len = jh_quota_message_write(
	    r->ledger, clock_of(f, i), &r->next, d.bytes, sizeof(d.bytes));
	for (d.to = 0; d.to < f->spec->routers; d.to++) {
		d.to_id = f->router[d.to].id;
		d.at = f->now + (i % 2 == d.to % 2 ? 500 : 12000);
		if (d.to != i && !is_cut(f, i, d.to) &&
		    g_rand_double(f->rand) >= f->spec->loss)
			g_array_append_val(f->datagrams, d);
	}
}

static void
deliver(struct fleet *f)
{
	guint i;

	for (i = f->datagrams->len; i-- > 0;) {
		struct datagram d =
		    g_array_index(f->datagrams, struct datagram, i);
		struct router *r = &f->router[d.to];
		if (d.at > f->now)
			continue;
		g_array_remove_index_fast(f->datagrams, i);
		if (r->id != d.to_id)
			continue;
		jh_quota_ledger_peer_heard(
		    r->ledger, clock_of(f, d.to), d.from_id);
		assert_true(jh_quota_message_read(
		    r->ledger, clock_of(f, d.to), d.from_id, d.bytes, d.len));
	}
}

/*
 * Refusals in the first second do not count: all start with level 0, as does
 * the central bucket.
 */
static unsigned int
is_counted(const struct fleet *f)
{
	return f->now >= JH_USEC_PER_SEC;
}

static void
ask(struct fleet *f, struct request q)
{
	unsigned int second = (unsigned int)(f->now / JH_USEC_PER_SEC);
	unsigned int i =
	    (unsigned int)g_rand_int_range(f->rand, 0, (gint32)f->spec->used);
	uint64_t wait;

	if (f->spec->moves)
		i = (i + second * 7) % MAX(f->spec->routers, 1);
	wait = jh_quota_ledger_admit(f->router[i].ledger, clock_of(f, i), QUOTA,
	    &(struct jh_quota_request){.cost = q.cost});
	f->asked += is_counted(f);
	if (wait == 0) {
		f->ran[f->now / STEP_USEC] += q.cost;
		return;
	}
	f->refused += is_counted(f);
	f->result.wait = MAX(f->result.wait, (double)wait / 1e6);
	if (q.retried || wait > PATIENCE_USEC)
		return;
	q.at = f->now + wait;
	q.retried = true;
	g_array_append_val(f->requests, q);
}

/* Whether the demand at this time is the higher one. */
static bool
is_peak(const struct quota_fleet_spec *s, double now)
{
	return now >= s->peak_from && now < s->peak_to;
}

/* New requests, of 200 tokens to the largest, and those that come back. */
static void
arrive(struct fleet *f)
{
	const struct quota_fleet_spec *s = f->spec;
	double now = (double)f->now / 1e6, rate;
	double range = (s->max_cost > 0 ? s->max_cost : 55000) - 200;
	struct request q = {.at = f->now};
	guint i;

	while (f->next_at <= now) {
		rate = s->rate * (is_peak(s, now) ? s->peak : s->calm);
		f->next_at -=
		    log(1 - g_rand_double(f->rand)) * (200 + range / 6) / rate;
		q.cost = floor(200 + range * pow(g_rand_double(f->rand), 5));
		if (f->level <= 0) {
			f->ideal_refused += is_counted(f);
		} else {
			f->level -= q.cost;
			f->ideal += is_peak(s, now) ? q.cost : 0;
		}
		ask(f, q);
	}
	for (i = f->requests->len; i-- > 0;) {
		q = g_array_index(f->requests, struct request, i);
		if (q.at > f->now)
			continue;
		g_array_remove_index_fast(f->requests, i);
		ask(f, q);
	}
}

/* Faults of this step, and the central bucket's refill. */
static void
step(struct fleet *f)
{
	const struct quota_fleet_spec *s = f->spec;
	double burst = s->burst + SLACK * BURST_SLACK_PART;
	uint64_t at = f->now / STEP_USEC;
	unsigned int i;
	double level;

	f->level = MIN(f->level + s->rate * STEP_USEC / 1e6, burst);
	for (i = 0; i < s->routers; i++) {
		if (s->kill_at > 0 && i % 2 == 0 &&
		    at == (uint64_t)(s->kill_at * 1e6) / STEP_USEC + i)
			start(f, i);
		if (s->lower_at > 0 &&
		    at == (uint64_t)(s->lower_at * 1e6) / STEP_USEC + i)
			set_quota(f, i, 0.5);
		announce(f, i);
	}
	deliver(f);
	arrive(f);
	level =
	    jh_quota_ledger_level(f->router[0].ledger, clock_of(f, 0), QUOTA);
	f->result.debt = MAX(f->result.debt, -level / s->rate);
}

/* Most that ran in a window from that second on, as a part of the bound. */
static double
most_in_window(const struct fleet *f, double from, double part)
{
	double bound = (WINDOW_SECONDS * f->spec->rate + f->spec->burst) *
			   OVERSHOOT * part +
		       SLACK;
	double sum = 0, most = 0;
	size_t i, first = (size_t)(from * 1e6) / STEP_USEC;

	for (i = first; i < STEPS; i++) {
		sum += f->ran[i];
		if (i >= first + WINDOW_STEPS)
			sum -= f->ran[i - WINDOW_STEPS];
		most = MAX(most, sum);
	}
	return most / bound;
}

struct quota_fleet_result
quota_fleet_run(const struct quota_fleet_spec *s, uint32_t seed)
{
	struct fleet *f = g_new0(struct fleet, 1);
	double peak = MAX(s->peak_to - s->peak_from, 1) * s->rate;
	struct quota_fleet_result result;
	size_t i;

	f->spec = s;
	f->rand = g_rand_new_with_seed(seed);
	f->datagrams = g_array_new(FALSE, FALSE, sizeof(struct datagram));
	f->requests = g_array_new(FALSE, FALSE, sizeof(struct request));
	for (i = 0; i < s->routers; i++)
		start(f, (unsigned int)i);
	for (i = 0; i < STEPS; i++) {
		step(f);
		if (is_peak(s, (double)f->now / 1e6))
			f->result.used += f->ran[i] / peak;
		f->now += STEP_USEC;
	}
	f->result.most = s->lower_at > 0
			     ? most_in_window(f, s->lower_at + 4, 0.5)
			     : most_in_window(f, 0, 1);
	f->result.ideal = f->ideal / peak;
	f->result.refused = f->refused / (double)f->asked;
	f->result.ideal_refused = f->ideal_refused / (double)f->asked;
	result = f->result;
	for (i = 0; i < s->routers; i++)
		jh_quota_ledger_destroy(f->router[i].ledger);
	g_array_free(f->datagrams, TRUE);
	g_array_free(f->requests, TRUE);
	g_rand_free(f->rand);
	g_free(f);
	return result;
}
