#include <string.h>

#include <xxhash.h>

#include "route/fleet.h"

/* The list lags behind what workers report themselves by up to this time. */
#define LIST_LAG_USEC 2500000ULL

/* Weight of one attempt in the moving average of failures. */
#define FAIL_RATE_WEIGHT 0.08

struct jh_fleet {
	GHashTable *by_id;
	GHashTable *by_hash;
	GHashTable *by_address; /* the worker that started last at each */
	GHashTable *leaving; /* hash of the id to the start of who said so */
	GPtrArray *sorted; /* by id */
	uint64_t changes;
};

static void
clear_model(void *p)
{
	struct jh_worker_model *m = p;

	g_free(m->name);
}

static void
free_worker(void *p)
{
	struct jh_worker *w = p;

	g_free(w->id);
	g_free(w->service);
	g_free(w->zone);
	g_array_free(w->models, TRUE);
	g_free(w);
}

struct jh_fleet *
jh_fleet_create(void)
{
	struct jh_fleet *f = g_new0(struct jh_fleet, 1);

	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	f->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->by_address =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	f->leaving =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	f->sorted = g_ptr_array_new_with_free_func(free_worker);
	return f;
}

void
jh_fleet_destroy(struct jh_fleet *f)
{
	if (f == NULL)
		return;
	g_hash_table_destroy(f->by_id);
	g_hash_table_destroy(f->by_hash);
	g_hash_table_destroy(f->by_address);
	g_hash_table_destroy(f->leaving);
	g_ptr_array_free(f->sorted, TRUE);
	g_free(f);
}

static void
insert_sorted(struct jh_fleet *f, struct jh_worker *w)
{
	guint low = 0, high = f->sorted->len, middle;

	while (low < high) {
		const struct jh_worker *at;
		middle = low + (high - low) / 2;
		at = g_ptr_array_index(f->sorted, middle);
		if (strcmp(at->id, w->id) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	g_ptr_array_insert(f->sorted, (gint)low, w);
}

static void
set_string(char **at, const char *value)
{
	if (g_strcmp0(*at, value) == 0)
		return;
	g_free(*at);
	*at = g_strdup(value);
}

/* The worker was restarted under the same id: what was observed is void. */
static void
reset_observations(struct jh_worker *w)
{
	w->crash_reported_at = 0;
	g_array_set_size(w->models, 0);
	w->orders_known = false;
	w->backoff_until = 0;
	w->changing_until = 0;
	w->consecutive_failures = 0;
	w->fail_rate = 0;
	w->ttft_excess = 0;
	w->speed[0] = w->speed[1] = 0;
	w->unreachable_at = 0;
	w->heard_unreachable_until = 0;
	w->leaving = false;
	w->announced_leaving = false;
	w->heard_leaving_until = 0;
	w->refused_until = 0;
	w->trial_until = 0;
	w->replaced_until = 0;
	w->replaced_at = 0;
}

static uint64_t
address_key(const struct jh_worker *w)
{
	return (uint64_t)w->address.sin_addr.s_addr << 16 | w->address.sin_port;
}

static void
forget_address(struct jh_fleet *f, const struct jh_worker *w)
{
	uint64_t key = address_key(w);

	if (g_hash_table_lookup(f->by_address, &key) == w)
		g_hash_table_remove(f->by_address, &key);
}

/*
 * A worker that is listed at the address of one that started before has
 * replaced it. The reverse is not concluded: a wrong clock would take a live
 * worker out.
 */
static void
resolve_address(struct jh_fleet *f, struct jh_worker *w, uint64_t now)
{
	uint64_t key = address_key(w);
	struct jh_worker *other = g_hash_table_lookup(f->by_address, &key);

	if (other == w || key == 0 || w->started_ms == 0)
		return;
	if (other != NULL && other->started_ms >= w->started_ms)
		return;
	if (other != NULL)
		jh_worker_replaced(other, now);
	g_hash_table_replace(f->by_address, g_memdup2(&key, sizeof(key)), w);
}

static int
compare_models(gconstpointer a, gconstpointer b)
{
	const struct jh_worker_model *x = a, *y = b;

	return strcmp(x->name, y->name);
}

/* Takes over a listed model, unless what was observed is later. */
static void
update_model(struct jh_worker *w, uint64_t now, const struct jh_listed_model *l)
{
	struct jh_worker_model *m = jh_worker_find_model(w, l->name);
	struct jh_worker_model new = {NULL, l->weights, now};

	if (m == NULL) {
		new.name = g_strdup(l->name);
		g_array_append_val(w->models, new);
		w->changing_until = 0;
	} else if (l->weights >= m->weights ||
		   now - m->confirmed > LIST_LAG_USEC) {
		jh_worker_observed_weights(w, now, l->name, l->weights);
	}
}

static bool
is_listed_model(const struct jh_listed_worker *l, const char *name)
{
	size_t i;

	for (i = 0; i < l->n_models; i++)
		if (strcmp(l->models[i].name, name) == 0)
			return true;
	return false;
}

static void
update_models(
    struct jh_worker *w, uint64_t now, const struct jh_listed_worker *l)
{
	size_t i;

	for (i = w->models->len; i > 0; i--)
		if (!is_listed_model(l, jh_worker_model_at(w, i - 1)->name))
			g_array_remove_index(w->models, (guint)(i - 1));
	for (i = 0; i < l->n_models; i++)
		update_model(w, now, &l->models[i]);
	g_array_sort(w->models, compare_models);
}

/* Whether the worker has said at this start that it leaves. */
static bool
said_leaving(const struct jh_fleet *f, const struct jh_worker *w)
{
	const uint64_t *started = g_hash_table_lookup(f->leaving, &w->hash);

	return started != NULL && *started == w->started_ms;
}

struct jh_worker *
jh_fleet_update(
    struct jh_fleet *f, uint64_t now, const struct jh_listed_worker *l)
{
	struct jh_worker *w = g_hash_table_lookup(f->by_id, l->id);

	if (w == NULL) {
		w = g_new0(struct jh_worker, 1);
		w->id = g_strdup(l->id);
		w->hash = XXH3_64bits(l->id, strlen(l->id));
		w->models =
		    g_array_new(FALSE, FALSE, sizeof(struct jh_worker_model));
		g_array_set_clear_func(w->models, clear_model);
		g_hash_table_insert(f->by_id, w->id, w);
		g_hash_table_insert(f->by_hash, &w->hash, w);
		insert_sorted(f, w);
		f->changes++;
	} else if (l->started_ms != 0 && w->started_ms != 0 &&
		   l->started_ms != w->started_ms) {
		reset_observations(w);
	}
	if (l->started_ms != 0)
		w->started_ms = l->started_ms;
	w->announced_leaving = said_leaving(f, w);
	w->missing_since = 0;
	forget_address(f, w);
	w->address = l->address;
	w->slots = l->slots;
	w->leaving = l->leaving;
	set_string(&w->service, l->service);
	set_string(&w->zone, l->zone);
	update_models(w, now, l);
	resolve_address(f, w, now);
	return w;
}

void
jh_fleet_remove(struct jh_fleet *f, const char *id)
{
	struct jh_worker *w = g_hash_table_lookup(f->by_id, id);

	if (w == NULL)
		return;
	forget_address(f, w);
	g_hash_table_remove(f->by_id, id);
	g_hash_table_remove(f->by_hash, &w->hash);
	g_ptr_array_remove(f->sorted, w);
	f->changes++;
}

void
jh_fleet_mark_missing(struct jh_fleet *f, uint64_t since, const char *id)
{
	struct jh_worker *w = g_hash_table_lookup(f->by_id, id);

	if (w != NULL && w->missing_since == 0)
		w->missing_since = since;
}

void
jh_fleet_expire(struct jh_fleet *f, uint64_t now, uint64_t grace)
{
	guint i;

	for (i = f->sorted->len; i > 0; i--) {
		struct jh_worker *w = g_ptr_array_index(f->sorted, i - 1);
		if (w->missing_since != 0 && now - w->missing_since >= grace)
			jh_fleet_remove(f, w->id);
	}
}

struct jh_worker *
jh_fleet_find(struct jh_fleet *f, const char *id)
{
	return g_hash_table_lookup(f->by_id, id);
}

struct jh_worker *
jh_fleet_find_hash(struct jh_fleet *f, uint64_t hash)
{
	return g_hash_table_lookup(f->by_hash, &hash);
}

size_t
jh_fleet_count(const struct jh_fleet *f)
{
	return f->sorted->len;
}

uint64_t
jh_fleet_generation(const struct jh_fleet *f)
{
	return f->changes;
}

struct jh_worker *
jh_fleet_at(struct jh_fleet *f, size_t i)
{
	return g_ptr_array_index(f->sorted, i);
}

bool
jh_worker_is_leaving(const struct jh_worker *w)
{
	return w->leaving || w->announced_leaving;
}

const char *
jh_worker_state(const struct jh_worker *w, uint64_t now)
{
	if (jh_worker_is_leaving(w) || now < w->heard_leaving_until)
		return "leaving";
	if (now < w->refused_until)
		return "refusing";
	if (now < w->replaced_until)
		return "replaced";
	if (w->missing_since != 0)
		return "missing";
	if (now < w->changing_until)
		return "changing";
	if (now < w->backoff_until)
		return "held";
	return w->fail_rate > JH_FLEET_DEGRADED_FAIL_RATE ? "eased" : "ready";
}

struct jh_worker_model *
jh_worker_model_at(const struct jh_worker *w, size_t i)
{
	return &g_array_index(w->models, struct jh_worker_model, i);
}

struct jh_worker_model *
jh_worker_find_model(const struct jh_worker *w, const char *name)
{
	size_t i;

	for (i = 0; name != NULL && i < w->models->len; i++)
		if (strcmp(jh_worker_model_at(w, i)->name, name) == 0)
			return jh_worker_model_at(w, i);
	return NULL;
}

uint64_t
jh_worker_weights(const struct jh_worker *w, const char *model)
{
	const struct jh_worker_model *m = jh_worker_find_model(w, model);

	return m != NULL ? m->weights : 0;
}

void
jh_worker_observed_weights(
    struct jh_worker *w, uint64_t now, const char *model, uint64_t weights)
{
	struct jh_worker_model *m = jh_worker_find_model(w, model);

	if (m == NULL)
		return;
	if (weights != m->weights)
		w->changing_until = 0;
	m->weights = weights;
	m->confirmed = now;
}

void
jh_worker_replaced(struct jh_worker *w, uint64_t now)
{
	if (now < w->replaced_until)
		return;
	w->replaced_at = now;
	w->replaced_until = now + JH_FLEET_REPLACED_USEC;
}

bool
jh_worker_announces_replaced(const struct jh_worker *w, uint64_t now)
{
	return now < w->replaced_until &&
	       now - w->replaced_at < JH_FLEET_ANNOUNCE_REPLACED_USEC;
}

void
jh_worker_attempt_failed(struct jh_worker *w, uint64_t now)
{
	uint64_t backoff = JH_FLEET_BACKOFF_MIN_USEC;
	unsigned int i;

	for (i = 0;
	     i < w->consecutive_failures && backoff < JH_FLEET_BACKOFF_MAX_USEC;
	     i++)
		backoff *= 2;
	w->consecutive_failures++;
	w->backoff_until = now + MIN(backoff, JH_FLEET_BACKOFF_MAX_USEC);
	w->fail_rate += FAIL_RATE_WEIGHT * (1 - w->fail_rate);
}

static void
subtract_at_most(uint64_t *from, uint64_t n)
{
	*from -= MIN(*from, n);
}

void
jh_worker_add_load(struct jh_worker *w, const struct jh_worker_load *l)
{
	w->prefill_tokens += l->prefill;
	w->urgent_tokens += l->urgent;
	w->held_tokens += l->held;
	w->running++;
}

void
jh_worker_release_prefill(struct jh_worker *w, struct jh_worker_load *l)
{
	subtract_at_most(&w->prefill_tokens, l->prefill);
	subtract_at_most(&w->urgent_tokens, l->urgent);
	l->prefill = l->urgent = 0;
}

void
jh_worker_release_load(struct jh_worker *w, struct jh_worker_load *l)
{
	jh_worker_release_prefill(w, l);
	subtract_at_most(&w->held_tokens, l->held);
	l->held = 0;
	if (w->running > 0)
		w->running--;
}

void
jh_worker_unreachable(struct jh_worker *w, uint64_t now, uint64_t spread)
{
	/* Requests that failed together are one failure. */
	if (now < w->backoff_until && w->unreachable_at != 0)
		return;
	jh_worker_attempt_failed(w, now);
	w->backoff_until += spread % JH_FLEET_BACKOFF_MIN_USEC;
	w->unreachable_at = now;
}

void
jh_worker_heard_unreachable(
    struct jh_worker *w, uint64_t now, uint64_t peer, uint64_t window)
{
	bool confirmed =
	    w->unreachable_peer != peer && w->unreachable_heard_at != 0 &&
	    now - w->unreachable_heard_at < JH_FLEET_ANNOUNCE_UNREACHABLE_USEC;

	w->unreachable_peer = peer;
	w->unreachable_heard_at = now;
	if (confirmed &&
	    (w->responded_at == 0 || now - w->responded_at >= window))
		w->heard_unreachable_until =
		    now + JH_FLEET_HEARD_UNREACHABLE_USEC;
}

bool
jh_worker_announces_unreachable(const struct jh_worker *w, uint64_t now)
{
	return w->unreachable_at != 0 &&
	       now - w->unreachable_at < JH_FLEET_ANNOUNCE_UNREACHABLE_USEC;
}

void
jh_worker_responded(struct jh_worker *w, bool failed)
{
	w->unreachable_at = 0;
	w->consecutive_failures = 0;
	w->fail_rate += FAIL_RATE_WEIGHT * ((failed ? 1 : 0) - w->fail_rate);
}

bool
jh_fleet_announced_leaving(struct jh_fleet *f, struct jh_worker *w)
{
	if (w->announced_leaving)
		return false;
	w->announced_leaving = true;
	if (g_hash_table_size(f->leaving) >= JH_FLEET_MAX_LEAVING)
		g_hash_table_remove_all(f->leaving);
	g_hash_table_replace(f->leaving, g_memdup2(&w->hash, sizeof(w->hash)),
	    g_memdup2(&w->started_ms, sizeof(w->started_ms)));
	return true;
}

void
jh_worker_heard_leaving(struct jh_worker *w, uint64_t now)
{
	w->heard_leaving_until = now + JH_FLEET_HEARD_LEAVING_USEC;
}

void
jh_worker_refused(struct jh_worker *w, uint64_t now, uint64_t usec)
{
	w->refused_at = now;
	w->refused_until = now + MIN(usec, JH_WORKER_MAX_REFUSAL_USEC);
	w->trial_until = 0;
}

void
jh_worker_accepted(struct jh_worker *w, uint64_t sent_at)
{
	/* A response to an earlier request says nothing about new ones. */
	if (sent_at <= w->refused_at)
		return;
	w->refused_until = 0;
	w->trial_until = 0;
}

uint64_t
jh_worker_accepts_at(const struct jh_worker *w, uint64_t now)
{
	if (w->refused_until == 0)
		return now;
	return MAX(now, MAX(w->refused_until, w->trial_until));
}

void
jh_worker_sent(struct jh_worker *w, uint64_t now)
{
	if (w->refused_until != 0)
		w->trial_until = now + JH_WORKER_TRIAL_USEC;
}
