#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "route/rate_limits.h"

/*
 * Fleets of processes in virtual time that share the limits of workers, with
 * random faults. Guards against shares that together exceed a limit, and
 * against limits that are not used.
 */

#define SEEDS 20
#define SEEDS_OF_LARGE_FLEET 2
#define STEP_USEC (10 * JH_USEC_PER_MSEC)
#define ROUND_USEC (200 * JH_USEC_PER_MSEC)
#define RESPONSE_USEC (50 * JH_USEC_PER_MSEC)
#define RUN_USEC (60 * JH_USEC_PER_SEC)
#define START_USEC (20 * JH_USEC_PER_SEC)
#define MAX_PROCESSES 103
#define PEERS_A_ROUND 24 /* more take turns, as in route/fanout.h */
#define MAX_WORKERS 6

/* The rule LIMIT. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define WINDOW_USEC (4 * JH_USEC_PER_SEC)
#define TOLD_USEC (500 * JH_USEC_PER_MSEC)
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5

/* A restarted process is listed at the others up to this much later. */
#define LISTED_USEC (2 * JH_USEC_PER_SEC)

struct spec {
	unsigned int processes, workers;
	double requests; /* a second, of all processes; each to all workers */
	double min_limit, max_limit;
	double change; /* changes of a limit a second, of each worker */
	double restarts, cuts, pauses; /* a second, of the fleet */
	uint64_t max_delay; /* of a message */
	double loss; /* share of messages */
	bool skewed; /* one process gets half of the requests */
};

struct process {
	struct jh_rate_limits *limits;
	uint64_t id;
	uint64_t next_round;
	uint64_t cut_until, paused_until; /* no messages; does nothing */
	uint64_t excused_until;
	uint64_t told[MAX_WORKERS]; /* passed on the limit; 0: not yet */
	uint64_t next_request;
	size_t next_record;
	unsigned int next_peer;
};

/* Something that happens to a process at a time. */
struct event {
	uint64_t at;
	enum { MESSAGE, RESPONSE, LISTED, UNLISTED } kind;
	unsigned int to;
	uint64_t to_id; /* it is lost if the process has restarted */
	uint64_t id; /* of the peer */
	struct jh_rate_record record;
	bool has_record;
	unsigned int worker;
	double limit; /* of the response; negative: none */
	uint64_t sent_at;
};

struct arrival {
	uint64_t at;
	unsigned int worker;
	bool counts;
};

struct worker {
	uint64_t hash;
	double limit; /* negative: none */
	uint64_t named_at, change_at;
	double highest; /* limit within a window */
	uint64_t lowered_at;
};

struct shares {
	double used, rejected;
};

struct world {
	const struct spec *spec;
	GRand *rand;
	struct jh_fleet *fleet;
	struct process process[MAX_PROCESSES];
	struct worker worker[MAX_WORKERS];
	GArray *events; /* struct event */
	GArray *arrivals; /* of the last window */
	uint64_t now, last_id;
	unsigned int violations;
	double sent, usable; /* requests to limited workers */
	double wanted, rejected; /* requests, and those without a worker */
	double worst; /* most arrivals, as a share of what is allowed */
};

static uint64_t
draw_usec(struct world *w, double seconds)
{
	return (uint64_t)(g_rand_double(w->rand) * seconds * 1e6);
}

/* A time from now with this mean rate a second. */
static uint64_t
draw_next(struct world *w, double rate)
{
	return rate <= 0 ? UINT64_MAX : w->now + 1 + draw_usec(w, 2 / rate);
}

static bool
happens(struct world *w, double rate)
{
	return g_rand_double(w->rand) < rate * (double)STEP_USEC / 1e6;
}

static double
request_rate(const struct world *w, unsigned int i)
{
	double all = w->spec->requests;

	if (!w->spec->skewed)
		return all / w->spec->processes;
	return i == 0 ? all / 2 : all / 2 / (w->spec->processes - 1);
}

static void
start_process(struct world *w, unsigned int i)
{
	struct process *p = &w->process[i];
	unsigned int k;

	memset(p, 0, sizeof(*p));
	p->limits = jh_rate_limits_create(w->now);
	p->id = ++w->last_id;
	p->next_round = w->now + draw_usec(w, 0.2);
	p->next_request = draw_next(w, request_rate(w, i));
	jh_rate_limits_set_self(p->limits, p->id);
	for (k = 0; k < w->spec->processes; k++) {
		if (k != i && w->process[k].limits != NULL)
			jh_rate_limits_add_peer(
			    p->limits, w->now, w->process[k].id);
	}
}

static void
list_at_others(struct world *w, unsigned int i, uint64_t old_id)
{
	struct event e = {.id = w->process[i].id};
	unsigned int k;

	for (k = 0; k < w->spec->processes; k++) {
		if (k == i)
			continue;
		e.to = k;
		e.to_id = w->process[k].id;
		e.at = w->now + draw_usec(w, (double)LISTED_USEC / 1e6);
		e.kind = LISTED;
		g_array_append_val(w->events, e);
		if (old_id == 0)
			continue;
		e.kind = UNLISTED;
		e.id = old_id;
		g_array_append_val(w->events, e);
		e.id = w->process[i].id;
	}
}

static void
restart_process(struct world *w, unsigned int i)
{
	uint64_t old = w->process[i].id;

	jh_rate_limits_destroy(w->process[i].limits);
	start_process(w, i);
	w->process[i].excused_until = w->now + CONTACT_USEC;
	list_at_others(w, i, old);
}

static void
send_round(struct world *w, unsigned int i)
{
	struct process *p = &w->process[i];
	struct jh_rate_record records[MAX_WORKERS];
	struct event e = {.kind = MESSAGE, .id = p->id};
	unsigned int peers = MIN(w->spec->processes, PEERS_A_ROUND), k;
	size_t n, r;

	jh_rate_limits_update(p->limits, w->now, w->fleet);
	n = jh_rate_limits_export(
	    p->limits, w->now, records, MAX_WORKERS, &p->next_record);
	for (; peers > 0; peers--) {
		k = p->next_peer++ % w->spec->processes;
		if (k == i || w->now < p->cut_until ||
		    w->now < w->process[k].cut_until ||
		    g_rand_double(w->rand) < w->spec->loss)
			continue;
		e.to = k;
		e.to_id = w->process[k].id;
		e.at = w->now + draw_usec(w, (double)w->spec->max_delay / 1e6);
		e.has_record = false;
		g_array_append_val(w->events, e);
		for (r = 0; r < n; r++) {
			e.record = records[r];
			e.has_record = true;
			g_array_append_val(w->events, e);
		}
	}
}

static void
respond(struct world *w, const struct event *e, struct process *p)
{
	const struct worker *to = &w->worker[e->worker];

	if (e->limit >= 0) {
		jh_rate_limits_named(p->limits, w->now, to->hash, 1, e->limit);
		if (p->told[e->worker] == 0)
			p->told[e->worker] = w->now;
	} else {
		jh_rate_limits_not_named(
		    p->limits, w->now, e->sent_at, to->hash, 1);
	}
}

static void
handle(struct world *w, const struct event *e)
{
	struct process *p = &w->process[e->to];

	if (p->id != e->to_id)
		return;
	if (e->kind == RESPONSE) {
		respond(w, e, p);
	} else if (e->kind == LISTED) {
		jh_rate_limits_add_peer(p->limits, w->now, e->id);
	} else if (e->kind == UNLISTED) {
		jh_rate_limits_remove_peer(p->limits, e->id);
	} else {
		jh_rate_limits_peer_heard(p->limits, w->now, e->id);
		if (e->has_record)
			jh_rate_limits_merge(
			    p->limits, w->now, e->id, &e->record);
	}
}

static void
handle_events(struct world *w)
{
	struct event e;
	guint i;

	for (i = w->events->len; i > 0; i--) {
		e = g_array_index(w->events, struct event, i - 1);
		if (e.at > w->now || w->now < w->process[e.to].paused_until)
			continue;
		g_array_remove_index_fast(w->events, i - 1);
		handle(w, &e);
	}
}

/* Sends a request to a worker with room, if there is one. */
static void
request(struct world *w, unsigned int i)
{
	struct process *p = &w->process[i];
	unsigned int first =
	    (unsigned int)g_rand_int_range(w->rand, 0, MAX_WORKERS);
	unsigned int n = w->spec->workers, k, to = n;
	struct event e = {.kind = RESPONSE, .to = i, .to_id = p->id};
	struct arrival a = {.at = w->now};

	for (k = 0; k < n; k++)
		jh_rate_limits_request(p->limits, w->now, w->worker[k].hash);
	for (k = 0; k < n && to == n; k++) {
		unsigned int at = (first + k) % n;
		if (jh_rate_limits_room_at(
			p->limits, w->now, w->worker[at].hash) <= w->now)
			to = at;
	}
	w->wanted += w->now >= START_USEC;
	w->rejected += w->now >= START_USEC && to == n;
	if (to == n)
		return;
	jh_rate_limits_sent(p->limits, w->now, w->worker[to].hash);
	a.worker = to;
	a.counts = p->told[to] != 0 && p->told[to] + TOLD_USEC <= w->now &&
		   w->now >= p->excused_until;
	g_array_append_val(w->arrivals, a);
	e.worker = to;
	e.limit = w->worker[to].limit;
	e.sent_at = w->now;
	e.at = w->now + RESPONSE_USEC;
	g_array_append_val(w->events, e);
	if (w->now >= START_USEC && e.limit >= 0)
		w->sent++;
}

static void
change_limit(struct world *w, unsigned int k)
{
	struct worker *to = &w->worker[k];
	double span = w->spec->max_limit - w->spec->min_limit, before;
	unsigned int i;

	before = to->limit;
	to->change_at = draw_next(w, w->spec->change);
	if (before >= 0 && w->spec->change > 0 &&
	    g_rand_int_range(w->rand, 0, 3) == 0) {
		to->limit = -1;
		for (i = 0; i < w->spec->processes; i++)
			w->process[i].told[k] = 0;
		return;
	}
	to->limit = w->spec->min_limit + g_rand_double(w->rand) * span;
	if (before < 0) {
		to->named_at = w->now;
		to->highest = to->limit;
	}
	if (to->limit < before)
		to->lowered_at = w->now;
	to->highest = MAX(to->highest, to->limit);
}

static void
check_worker(struct world *w, unsigned int k)
{
	struct worker *to = &w->worker[k];
	const struct arrival *a;
	unsigned int n = 0;
	double allowed;
	guint i;

	if (to->limit < 0 || w->now < to->named_at + CONTACT_USEC)
		return;
	if (to->lowered_at + WINDOW_USEC + TOLD_USEC < w->now)
		to->highest = to->limit;
	for (i = 0; i < w->arrivals->len; i++) {
		a = &g_array_index(w->arrivals, struct arrival, i);
		n += a->worker == k && a->counts;
	}
	allowed = LIMIT_FACTOR * to->highest * (double)WINDOW_USEC / 1e6 +
		  LIMIT_SLACK;
	w->worst = MAX(w->worst, n / allowed);
	w->violations += n > allowed;
}

static void
check(struct world *w)
{
	unsigned int k;
	guint i;

	for (i = w->arrivals->len; i > 0; i--) {
		if (g_array_index(w->arrivals, struct arrival, i - 1).at +
			WINDOW_USEC <=
		    w->now)
			g_array_remove_index_fast(w->arrivals, i - 1);
	}
	for (k = 0; k < w->spec->workers; k++) {
		check_worker(w, k);
		if (w->now >= START_USEC && w->worker[k].limit >= 0)
			w->usable +=
			    w->worker[k].limit * (double)STEP_USEC / 1e6;
	}
}

static void
disturb(struct world *w, unsigned int i)
{
	struct process *p = &w->process[i];
	double each = 1.0 / w->spec->processes;

	if (happens(w, w->spec->restarts * each))
		restart_process(w, i);
	if (happens(w, w->spec->cuts * each))
		p->cut_until = w->now + draw_usec(w, 5);
	if (happens(w, w->spec->pauses * each))
		p->paused_until = w->now + draw_usec(w, 2);
}

static void
step_process(struct world *w, unsigned int i)
{
	struct process *p = &w->process[i];

	if (w->now < p->paused_until)
		return;
	while (p->next_request <= w->now) {
		request(w, i);
		p->next_request = draw_next(w, request_rate(w, i));
	}
	if (p->next_round <= w->now) {
		send_round(w, i);
		p->next_round = w->now + ROUND_USEC;
	}
}

static void
step(struct world *w)
{
	unsigned int i;

	w->now += STEP_USEC;
	for (i = 0; i < w->spec->workers; i++) {
		if (w->worker[i].change_at <= w->now)
			change_limit(w, i);
	}
	handle_events(w);
	for (i = 0; i < w->spec->processes; i++) {
		if (w->now >= START_USEC)
			disturb(w, i);
		step_process(w, i);
	}
	check(w);
}

static void
world_init(struct world *w, const struct spec *spec, unsigned int seed)
{
	unsigned int i;

	memset(w, 0, sizeof(*w));
	w->spec = spec;
	w->rand = g_rand_new_with_seed(seed);
	w->fleet = jh_fleet_create();
	w->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	w->arrivals = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	w->now = JH_USEC_PER_SEC;
	for (i = 0; i < spec->workers; i++) {
		char id[8];
		struct jh_listed_worker listed = {
		    .id = id, .service = "s", .zone = "z", .started_ms = 1};
		g_snprintf(id, sizeof(id), "w%u", i);
		w->worker[i].hash =
		    jh_fleet_update(w->fleet, w->now, &listed)->hash;
		w->worker[i].limit = -1;
		w->worker[i].change_at = START_USEC / 2 + draw_usec(w, 5);
	}
	for (i = 0; i < spec->processes; i++)
		start_process(w, i);
	for (i = 0; i < spec->processes; i++)
		list_at_others(w, i, 0);
}

static void
world_clear(struct world *w)
{
	unsigned int i;

	for (i = 0; i < w->spec->processes; i++)
		jh_rate_limits_destroy(w->process[i].limits);
	g_array_free(w->events, TRUE);
	g_array_free(w->arrivals, TRUE);
	jh_fleet_destroy(w->fleet);
	g_rand_free(w->rand);
}

/*
 * Checks the rule. Returns the share of the limits that was used, and of the
 * requests that were rejected.
 */
static struct shares
run_fleet(const struct spec *spec, unsigned int seeds)
{
	double worst = 0, used = 0, usable = 0, wanted = 0, rejected = 0;
	struct shares shares;
	unsigned int seed, violations = 0;
	static struct world w;

	for (seed = 1; seed <= seeds; seed++) {
		world_init(&w, spec, seed);
		while (w.now < RUN_USEC)
			step(&w);
		worst = MAX(worst, w.worst);
		used += w.sent;
		usable += w.usable;
		wanted += w.wanted;
		rejected += w.rejected;
		if (w.violations > 0)
			print_message("seed %u: %.2f of what is allowed\n",
			    seed, w.worst);
		violations += w.violations > 0;
		world_clear(&w);
	}
	shares = (struct shares){used / usable, rejected / wanted};
	print_message("at most %.2f of what is allowed, %.2f of the limits "
		      "used, %.2f of the requests rejected\n",
	    worst, shares.used, shares.rejected);
	assert_int_equal(violations, 0);
	return shares;
}

static void
check_fleet(const struct spec *spec, unsigned int seeds, double min_used)
{
	assert_true(run_fleet(spec, seeds).used >= min_used);
}

/* As on the deployment of the incident. */
static void
six_processes_share_a_limit(void **state)
{
	const struct spec spec = {.processes = 6,
	    .workers = 1,
	    .requests = 30,
	    .min_limit = 1.4,
	    .max_limit = 1.7,
	    .max_delay = 50 * JH_USEC_PER_MSEC};

	check_fleet(&spec, SEEDS, 0.7);
}

static void
limits_below_one_request_for_each_process(void **state)
{
	const struct spec spec = {.processes = 22,
	    .workers = 2,
	    .requests = 40,
	    .min_limit = 0,
	    .max_limit = 1,
	    .max_delay = 200 * JH_USEC_PER_MSEC,
	    .loss = 0.1};

	check_fleet(&spec, SEEDS, 0.6);
}

static void
processes_restart_and_lose_peers(void **state)
{
	const struct spec spec = {.processes = 10,
	    .workers = 2,
	    .requests = 60,
	    .min_limit = 1,
	    .max_limit = 6,
	    .restarts = 0.3,
	    .cuts = 0.3,
	    .pauses = 0.3,
	    .max_delay = 400 * JH_USEC_PER_MSEC,
	    .loss = 0.2};

	check_fleet(&spec, SEEDS, 0.4);
}

static void
limits_come_change_and_end(void **state)
{
	const struct spec spec = {.processes = 10,
	    .workers = 6,
	    .requests = 100,
	    .min_limit = 0.5,
	    .max_limit = 10,
	    .change = 0.15,
	    .restarts = 0.1,
	    .cuts = 0.1,
	    .pauses = 0.1,
	    .max_delay = 300 * JH_USEC_PER_MSEC,
	    .loss = 0.1};

	check_fleet(&spec, SEEDS, 0.3);
}

/* What the others do not use, the busy one gets. */
static void
busy_process_uses_the_shares_of_idle_ones(void **state)
{
	const struct spec spec = {.processes = 8,
	    .workers = 1,
	    .requests = 12,
	    .min_limit = 5,
	    .max_limit = 6,
	    .max_delay = 100 * JH_USEC_PER_MSEC,
	    .skewed = true};

	check_fleet(&spec, SEEDS, 0.7);
}

/* Guards against processes that have no share when a request comes at last. */
static void
few_requests_are_served(void **state)
{
	const struct spec spec = {.processes = 6,
	    .workers = 2,
	    .requests = 0.4,
	    .min_limit = 1.4,
	    .max_limit = 1.7,
	    .max_delay = 50 * JH_USEC_PER_MSEC};

	assert_true(run_fleet(&spec, SEEDS).rejected <= 0.1);
}

static void
hundred_processes_share_limits(void **state)
{
	const struct spec spec = {.processes = MAX_PROCESSES,
	    .workers = 2,
	    .requests = 200,
	    .min_limit = 1,
	    .max_limit = 12,
	    .restarts = 0.2,
	    .max_delay = 500 * JH_USEC_PER_MSEC,
	    .loss = 0.2};

	check_fleet(&spec, SEEDS_OF_LARGE_FLEET, 0.4);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(six_processes_share_a_limit),
    cmocka_unit_test(limits_below_one_request_for_each_process),
    cmocka_unit_test(processes_restart_and_lose_peers),
    cmocka_unit_test(limits_come_change_and_end),
    cmocka_unit_test(busy_process_uses_the_shares_of_idle_ones),
    cmocka_unit_test(few_requests_are_served),
    cmocka_unit_test(hundred_processes_share_limits),
};

int
main(int argc, char **argv)
{
	if (argc > 1)
		cmocka_set_test_filter(argv[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
