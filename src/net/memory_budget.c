#include <glib.h>

#include <jacinthhill/clock.h>

#include "net/memory_budget.h"

/*
 * Memory that a process needs for itself: code, libraries, configuration, lists
 * of workers and routers, log. The busiest of 300 routers took 14 MB
 * (docs/CAPACITY.md).
 */
#define PROCESS_BYTES ((size_t)20 * 1024 * 1024)

/* Least budget, as a part of the memory of the process: one of so many. */
#define LEAST_PART 4

/*
 * Added to the time without progress: an account that holds much is evicted
 * before a small one, though its peer sends a byte now and then.
 */
#define IDLE_BASE_USEC (100 * JH_USEC_PER_MSEC)

/* Calls that an account's owner may need to release all of it. */
#define MAX_TURNS 2

struct jh_memory_budget {
	size_t limit;
	size_t held;
	GPtrArray *accounts; /* struct jh_memory_account *, not retired */
	jh_memory_observe_fn *observe;
	void *arg;
	bool enforcing;
};

struct jh_memory_account {
	struct jh_memory_budget *budget;
	jh_memory_evict_fn *evict;
	void *arg;
	size_t held;
	uint64_t progress_at;
	guint at; /* index in the budget's accounts */
	bool retired;
};

size_t
jh_memory_budget_share(size_t process_bytes)
{
	size_t rest = process_bytes - MIN(process_bytes, PROCESS_BYTES);

	/* A quarter is left for what the allocator does not give back. */
	return MAX(rest / 4 * 3, process_bytes / LEAST_PART);
}

struct jh_memory_budget *
jh_memory_budget_create(size_t limit, jh_memory_observe_fn *observe, void *arg)
{
	struct jh_memory_budget *b = g_new0(struct jh_memory_budget, 1);

	b->limit = limit;
	b->accounts = g_ptr_array_new();
	b->observe = observe;
	b->arg = arg;
	return b;
}

void
jh_memory_budget_destroy(struct jh_memory_budget *b)
{
	if (b == NULL)
		return;
	g_ptr_array_free(b->accounts, TRUE);
	g_free(b);
}

void
jh_memory_budget_set_limit(struct jh_memory_budget *b, size_t limit)
{
	b->limit = limit;
}

size_t
jh_memory_budget_held(const struct jh_memory_budget *b)
{
	return b != NULL ? b->held : 0;
}

static double
eviction_score(const struct jh_memory_account *a, uint64_t now)
{
	uint64_t idle = now - MIN(a->progress_at, now);

	return (double)a->held * (double)(idle + IDLE_BASE_USEC);
}

/* The account to be evicted next, of those that hold more than least bytes. */
static struct jh_memory_account *
choose(const struct jh_memory_budget *b, uint64_t now, size_t least)
{
	struct jh_memory_account *a, *best = NULL;
	double score, best_score = 0;
	guint i;

	for (i = 0; i < b->accounts->len; i++) {
		a = g_ptr_array_index(b->accounts, i);
		if (a->held <= least)
			continue;
		score = eviction_score(a, now);
		if (best == NULL || score > best_score) {
			best = a;
			best_score = score;
		}
	}
	return best;
}

/* The account to be evicted now, or NULL. */
static struct jh_memory_account *
next_victim(const struct jh_memory_budget *b, uint64_t now)
{
	struct jh_memory_account *a;

	if (b->limit == 0 ||
	    b->held <= b->limit - b->limit / JH_MEMORY_RESERVE_PART)
		return NULL;
	a = choose(b, now, JH_MEMORY_ORDINARY_BYTES);
	if (a == NULL && b->held > b->limit)
		a = choose(b, now, 0);
	return a;
}

static void
report(struct jh_memory_budget *b, struct jh_memory_eviction *eviction)
{
	if (b->observe != NULL)
		b->observe(b->arg, eviction);
}

bool
jh_memory_budget_enforce(struct jh_memory_budget *b, uint64_t now,
    const struct jh_memory_account *current)
{
	struct jh_memory_account *a;
	bool keep = true;
	guint turns;

	/* What an eviction starts is within the loop that evicts. */
	if (b == NULL || b->enforcing)
		return true;
	b->enforcing = true;
	/* An owner that releases nothing must not stop the process. */
	turns = MAX_TURNS * b->accounts->len;
	while (keep && turns-- > 0 && (a = next_victim(b, now)) != NULL) {
		struct jh_memory_eviction eviction = {
		    .what = "response",
		    .held = a->held,
		    .idle_usec = now - MIN(a->progress_at, now),
		};

		if (a == current) {
			keep = false;
			jh_memory_account_retire(a);
		} else {
			eviction.what = a->evict(a->arg);
		}
		report(b, &eviction);
	}
	b->enforcing = false;
	return keep;
}

struct jh_memory_account *
jh_memory_account_create(struct jh_memory_budget *b, uint64_t now,
    jh_memory_evict_fn *evict, void *arg)
{
	struct jh_memory_account *a;

	if (b == NULL)
		return NULL;
	a = g_new0(struct jh_memory_account, 1);
	a->budget = b;
	a->evict = evict;
	a->arg = arg;
	a->progress_at = now;
	a->at = b->accounts->len;
	g_ptr_array_add(b->accounts, a);
	return a;
}

void
jh_memory_account_destroy(struct jh_memory_account *a)
{
	if (a == NULL)
		return;
	jh_memory_account_retire(a);
	g_free(a);
}

void
jh_memory_account_set_owner(
    struct jh_memory_account *a, jh_memory_evict_fn *evict, void *arg)
{
	if (a == NULL)
		return;
	a->evict = evict;
	a->arg = arg;
}

void
jh_memory_account_retire(struct jh_memory_account *a)
{
	struct jh_memory_account *moved;
	GPtrArray *all;

	if (a == NULL || a->retired)
		return;
	a->retired = true;
	a->budget->held -= a->held;
	all = a->budget->accounts;
	g_ptr_array_remove_index_fast(all, a->at);
	if (a->at < all->len) {
		moved = g_ptr_array_index(all, a->at);
		moved->at = a->at;
	}
}

void
jh_memory_account_update(
    struct jh_memory_account *a, size_t *counted, size_t bytes)
{
	size_t before = *counted;

	*counted = bytes;
	if (a == NULL)
		return;
	a->held = a->held - before + bytes;
	if (!a->retired)
		a->budget->held = a->budget->held - before + bytes;
}

void
jh_memory_account_progress(struct jh_memory_account *a, uint64_t now)
{
	if (a != NULL)
		a->progress_at = now;
}

size_t
jh_memory_allocated(size_t len)
{
	size_t bytes = len > 0 ? 16 : 0;

	while (bytes < len)
		bytes *= 2;
	return bytes;
}

size_t
jh_memory_account_held(const struct jh_memory_account *a)
{
	return a != NULL ? a->held : 0;
}

struct jh_memory_budget *
jh_memory_account_budget(const struct jh_memory_account *a)
{
	return a != NULL ? a->budget : NULL;
}
