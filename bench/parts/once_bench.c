#include <stdio.h>

#include "bench.h"
#include "once_sim.h"

/* Duration of a lease on a range of keys; renewed after half of it. */
#define LEASE_USEC (10 * JH_USEC_PER_SEC)

uint64_t
once_arrival(unsigned int i)
{
	return (uint64_t)i * JH_USEC_PER_SEC / ONCE_CALLS_PER_SEC + 1;
}

bool
once_in_outage(uint64_t t)
{
	return t >= ONCE_OUTAGE_FROM && t < ONCE_OUTAGE_UNTIL;
}

enum outcome {
	DONE,
	NOT_RUN,
	UNKNOWN,
};

static void
tally(struct once_result *r, uint64_t t, enum outcome outcome)
{
	if (outcome == NOT_RUN) {
		r->not_run++;
		r->outage_not_run += once_in_outage(t);
	} else if (outcome == UNKNOWN) {
		r->unknown++;
		r->outage_unknown += once_in_outage(t);
	}
}

static bool
permille(GRand *rand, int n)
{
	return g_rand_int_range(rand, 0, 1000) < n;
}

static uint64_t
crashes_before(uint64_t t)
{
	return MIN(t, ONCE_RUN_USEC - 1) / ONCE_CRASH_USEC;
}

/* Sends the call; the agent may restart before the response arrives. */
static enum outcome
send(struct once_call *c, GRand *rand, uint64_t t)
{
	if (permille(rand, ONCE_CONN_LOST_PERMILLE))
		return NOT_RUN;
	c->executed++;
	if (permille(rand, ONCE_CONN_LOST_PERMILLE) ||
	    crashes_before(t) != crashes_before(t + ONCE_BACKEND_USEC))
		return UNKNOWN;
	return DONE;
}

void
once_sim_no_record(struct once_result *r, GRand *rand)
{
	struct once_call *c;
	uint64_t t, added_usec = 0;
	unsigned int i;
	enum outcome outcome;

	for (i = 0; i < ONCE_CALLS; i++) {
		c = &r->calls[i];
		t = once_arrival(i);
		while (!c->responded && c->attempts < ONCE_ATTEMPTS) {
			outcome = send(c, rand, t);
			tally(r, t, outcome);
			c->responded = outcome == DONE;
			if (c->attempts++ == 0 && c->responded)
				g_array_append_val(r->added_usec, added_usec);
			t += ONCE_BACKEND_USEC + ONCE_RETRY_USEC;
		}
	}
}

/*
 * Whether the agent holds the lease. The holder keeps results in memory only:
 * after a restart it waits until the old lease has expired, and does not know
 * which calls ran before.
 */
static bool
lease_held(uint64_t t)
{
	uint64_t crash = t / ONCE_CRASH_USEC * ONCE_CRASH_USEC;

	if (t >= ONCE_OUTAGE_FROM + LEASE_USEC && t < ONCE_OUTAGE_UNTIL)
		return false;
	return crash == 0 || t >= crash + LEASE_USEC;
}

void
once_sim_range_lease(struct once_result *r, GRand *rand)
{
	uint64_t t, crashes_then, added_usec = 0;
	struct once_call *c;
	unsigned int i;
	enum outcome outcome;

	r->writes = ONCE_RUN_USEC / (LEASE_USEC / 2);
	for (i = 0; i < ONCE_CALLS; i++) {
		c = &r->calls[i];
		t = once_arrival(i);
		crashes_then = 0;
		while (!c->responded && c->attempts < ONCE_ATTEMPTS) {
			if (!lease_held(t))
				outcome = c->may_have_run ? UNKNOWN : NOT_RUN;
			else if (c->may_have_run &&
				 crashes_before(t) != crashes_then)
				outcome = UNKNOWN;
			else if (c->may_have_run)
				outcome = UNKNOWN; /* the response was lost */
			else
				outcome = send(c, rand, t);
			crashes_then = crashes_before(t);
			c->may_have_run |= outcome == UNKNOWN;
			tally(r, t, outcome);
			c->responded = outcome == DONE;
			if (c->attempts++ == 0 && c->responded)
				g_array_append_val(r->added_usec, added_usec);
			t += ONCE_BACKEND_USEC + ONCE_RETRY_USEC;
		}
	}
}

static gint
compare(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static double
percentile(GArray *a, unsigned int rank_permille)
{
	guint i;

	if (a->len == 0)
		return 0;
	i = (a->len - 1) * rank_permille / 1000;
	return (double)g_array_index(a, uint64_t, i) / JH_USEC_PER_MSEC;
}

static void
report(const char *name, struct once_result *r)
{
	unsigned int i, twice = 0, unresolved = 0;

	for (i = 0; i < ONCE_CALLS; i++) {
		twice += r->calls[i].executed > 1;
		unresolved +=
		    !r->calls[i].responded && r->calls[i].executed > 0;
	}
	g_array_sort(r->added_usec, compare);
	printf("%-12s %6.2f %6.2f %7.1f %7.1f %7.1f %8d %8d %8d %8d %6u %9u\n",
	    name, (double)r->writes / ONCE_CALLS, (double)r->reads / ONCE_CALLS,
	    (double)r->outage_ops / 60, percentile(r->added_usec, 500),
	    percentile(r->added_usec, 990), (int)r->not_run,
	    (int)r->outage_not_run, (int)r->unknown, (int)r->outage_unknown,
	    twice, unresolved);
}

static void
run_one(
    const char *name, uint64_t seed, void (*sim)(struct once_result *, GRand *))
{
	struct once_result r = {
	    .added_usec = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
	    .calls = g_new0(struct once_call, ONCE_CALLS)};
	GRand *rand = g_rand_new_with_seed((guint32)seed);

	sim(&r, rand);
	report(name, &r);
	g_rand_free(rand);
	g_array_free(r.added_usec, TRUE);
	g_free(r.calls);
}

int
once_bench_run(uint64_t seed)
{
	printf("once: %d calls at %d/s, agent restarts each 100 s, store "
	       "outage 230-290 s,\n1%% of store responses lost, 0.5%% of "
	       "connections break before and 0.5%% after sending\n",
	    ONCE_CALLS, ONCE_CALLS_PER_SEC);
	printf("%-12s %6s %6s %7s %7s %7s %8s %8s %8s %8s %6s %9s\n", "",
	    "writes", "reads", "in vain", "added", "added", "not run", "..in",
	    "unknown", "..in", "ran", "ran, no");
	printf("%-12s %6s %6s %7s %7s %7s %8s %8s %8s %8s %6s %9s\n", "",
	    "/call", "/call", "ops/s", "p50 ms", "p99 ms", "replies", "outage",
	    "replies", "outage", "twice", "answer");
	run_one("ledger", seed, once_sim_ledger);
	run_one("no record", seed, once_sim_no_record);
	run_one("range lease", seed, once_sim_range_lease);
	return 0;
}
