#include <math.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "member/weights.h"

/* Interval of the queries that follow an accepted order. */
#define QUERY_INTERVAL_USEC (250 * JH_USEC_PER_MSEC)

/* Delay before an order that was not accepted is retried. */
#define RETRY_DELAY_USEC (300 * JH_USEC_PER_MSEC)

/* Delay before a worker that did not respond is queried again. */
#define PROBE_RETRY_USEC (2 * JH_USEC_PER_SEC)

/*
 * Reports are some hundred milliseconds old. A worker that reports to be idle
 * this soon after an accepted order may be loading already.
 */
#define REPORT_LAG_USEC (700 * JH_USEC_PER_MSEC)

/* An accepted order without effect for this long is repeated. */
#define EFFECT_TIMEOUT_USEC (4 * JH_USEC_PER_SEC)

/*
 * With more failures in a row, a worker does not count as loading, so that
 * workers that do not respond do not delay the others.
 */
#define MAX_FAILURES 2

enum task_state {
	TASK_CALLING, /* an order or a query has no reply yet */
	TASK_LOADING, /* the order was accepted */
	TASK_WAITING /* for the next try */
};

struct task {
	enum task_state state;
	enum task_state state_before; /* CALLING: the state before the call */
	const char *model; /* interned; that the version is of */
	uint64_t version;
	uint64_t since; /* when the order was accepted */
	uint64_t next; /* earliest time of the next action */
	uint64_t drain_until; /* see JH_WEIGHTS_DRAIN_USEC */
	unsigned int failures; /* in a row */
	bool is_probe; /* only a query, to learn the count of orders */
};

/* The newest versions of one model, oldest first. */
struct history {
	struct jh_weights_version versions[JH_WEIGHTS_HISTORY];
	size_t n;
};

struct jh_weights {
	GHashTable *models; /* model name to struct history */
	GHashTable *tasks; /* worker id to struct task */
};

struct jh_weights *
jh_weights_create(void)
{
	struct jh_weights *w = g_new0(struct jh_weights, 1);

	w->models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	w->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return w;
}

void
jh_weights_destroy(struct jh_weights *w)
{
	if (w == NULL)
		return;
	g_hash_table_destroy(w->models);
	g_hash_table_destroy(w->tasks);
	g_free(w);
}

bool
jh_weights_set(
    struct jh_weights *w, uint64_t since, const char *model, uint64_t version)
{
	struct history *h = g_hash_table_lookup(w->models, model);

	if (h == NULL) {
		h = g_new0(struct history, 1);
		g_hash_table_insert(w->models, g_strdup(model), h);
	}
	if (h->n > 0 && version <= h->versions[h->n - 1].version)
		return false;
	if (h->n == JH_WEIGHTS_HISTORY)
		memmove(h->versions, h->versions + 1,
		    --h->n * sizeof(h->versions[0]));
	h->versions[h->n++] = (struct jh_weights_version){version, since};
	return true;
}

uint64_t
jh_weights_newest(const struct jh_weights *w, const char *model)
{
	const struct history *h =
	    model != NULL ? g_hash_table_lookup(w->models, model) : NULL;

	return h != NULL ? h->versions[h->n - 1].version : 0;
}

size_t
jh_weights_history(const struct jh_weights *w, const char *model,
    struct jh_weights_version out[JH_WEIGHTS_HISTORY])
{
	const struct history *h =
	    model != NULL ? g_hash_table_lookup(w->models, model) : NULL;

	if (h == NULL)
		return 0;
	memcpy(out, h->versions, h->n * sizeof(out[0]));
	return h->n;
}

void
jh_weights_change_clock(struct jh_weights_version *versions, size_t n,
    uint64_t now, uint64_t to_now)
{
	size_t i;

	for (i = 0; i < n; i++)
		versions[i].since =
		    to_now - MIN(to_now, now - MIN(now, versions[i].since));
}

static bool
is_outdated_model(const struct jh_weights *w, const struct jh_worker *worker,
    const char *model)
{
	uint64_t weights = jh_worker_weights(worker, model);

	return !jh_worker_is_leaving(worker) && worker->missing_since == 0 &&
	       weights != 0 && weights < jh_weights_newest(w, model);
}

/* Returns the first model of the worker that has old weights, or NULL. */
static const char *
outdated_model(const struct jh_weights *w, const struct jh_worker *worker)
{
	const char *name;
	size_t i;

	for (i = 0; i < worker->models->len; i++) {
		name = jh_worker_model_at(worker, i)->name;
		if (is_outdated_model(w, worker, name))
			return name;
	}
	return NULL;
}

/* Drops the tasks whose model is up to date, and those of workers that left. */
static void
prune(struct jh_weights *w, struct jh_fleet *f, uint64_t now)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct task *t = value;
		const struct jh_worker *worker = jh_fleet_find(f, key);
		if (t->state == TASK_CALLING)
			continue;
		if (worker == NULL || (t->is_probe && now >= t->next) ||
		    (!t->is_probe && !is_outdated_model(w, worker, t->model)))
			g_hash_table_iter_remove(&it);
	}
}

static size_t
count_workers(struct jh_fleet *f, const char *model)
{
	size_t n = 0, i;

	for (i = 0; i < jh_fleet_count(f); i++)
		if (jh_worker_find_model(jh_fleet_at(f, i), model) != NULL)
			n++;
	return n;
}

static size_t
count_loading(struct jh_weights *w)
{
	GHashTableIter it;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct task *t = value;
		if (t->is_probe)
			continue;
		if (t->state == TASK_LOADING || t->failures <= MAX_FAILURES)
			n++;
	}
	return n;
}

static void
start_call(struct task *t, struct jh_worker *worker,
    enum jh_weights_action_kind kind, uint64_t version,
    struct jh_weights_action *out)
{
	t->state_before = t->state;
	t->state = TASK_CALLING;
	t->version = version;
	out->kind = kind;
	out->worker = worker;
	out->model = t->model;
	out->version = version;
	out->expected = worker->orders;
}

/* The next action of a task, if one is due. */
static bool
next_action(struct task *t, struct jh_worker *worker, uint64_t now,
    uint64_t version, struct jh_weights_action *out)
{
	if (t->state == TASK_CALLING || now < t->next)
		return false;
	if (t->state == TASK_LOADING) {
		if (now - t->since > EFFECT_TIMEOUT_USEC) {
			t->state = TASK_WAITING;
			worker->orders_known = false;
		}
		start_call(t, worker, JH_WEIGHTS_QUERY, t->version, out);
		return true;
	}
	if (now < t->drain_until &&
	    worker->prefill_tokens + worker->others_prefill > 0)
		return false;
	start_call(t, worker,
	    worker->orders_known ? JH_WEIGHTS_ORDER : JH_WEIGHTS_QUERY, version,
	    out);
	return true;
}

/* Queries a worker whose count of orders is unknown before it is needed. */
static bool
probe(struct jh_weights *w, struct jh_worker *worker, uint64_t now,
    struct jh_weights_action *out)
{
	struct task *t = g_hash_table_lookup(w->tasks, worker->id);
	const struct jh_worker_model *m;

	if (worker->models->len == 0 || jh_worker_is_leaving(worker) ||
	    worker->orders_known || t != NULL || now < worker->backoff_until)
		return false;
	t = g_new0(struct task, 1);
	t->state = TASK_WAITING;
	t->is_probe = true;
	m = jh_worker_model_at(worker, 0);
	t->model = g_intern_string(m->name);
	g_hash_table_insert(w->tasks, g_strdup(worker->id), t);
	start_call(t, worker, JH_WEIGHTS_QUERY, m->weights, out);
	return true;
}

bool
jh_weights_pending(struct jh_weights *w, struct jh_fleet *f)
{
	size_t i;

	for (i = 0; i < jh_fleet_count(f); i++) {
		const struct jh_worker *worker = jh_fleet_at(f, i);
		if (outdated_model(w, worker) != NULL ||
		    (worker->models->len > 0 && !worker->orders_known))
			return true;
	}
	return g_hash_table_size(w->tasks) > 0;
}

bool
jh_weights_next(struct jh_weights *w, struct jh_fleet *f, uint64_t now,
    struct jh_weights_action *out)
{
	struct jh_worker *least_loaded = NULL;
	const char *model;
	struct task *t;
	size_t i, limit;

	prune(w, f, now);
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *worker = jh_fleet_at(f, i);
		if (jh_worker_accepts_at(worker, now) > now)
			continue;
		if (probe(w, worker, now, out))
			return true;
		if (outdated_model(w, worker) == NULL)
			continue;
		t = g_hash_table_lookup(w->tasks, worker->id);
		if (t != NULL && t->is_probe && t->state == TASK_WAITING) {
			g_hash_table_remove(w->tasks, worker->id);
			t = NULL;
		}
		if (t != NULL) {
			if (next_action(t, worker, now,
				jh_weights_newest(w, t->model), out))
				return true;
			continue;
		}
		if (now < worker->backoff_until)
			continue;
		if (least_loaded == NULL ||
		    worker->running < least_loaded->running)
			least_loaded = worker;
	}
	if (least_loaded == NULL)
		return false;
	model = g_intern_string(outdated_model(w, least_loaded));
	limit = (size_t)ceil(
	    JH_WEIGHTS_MAX_SHARE * (double)count_workers(f, model));
	if (count_loading(w) >= MAX(limit, JH_WEIGHTS_MIN_CONCURRENT))
		return false;
	t = g_new0(struct task, 1);
	t->state = TASK_WAITING;
	t->model = model;
	g_hash_table_insert(w->tasks, g_strdup(least_loaded->id), t);
	t->next = now + JH_WEIGHTS_NOTICE_USEC;
	t->drain_until = now + JH_WEIGHTS_DRAIN_USEC;
	out->kind = JH_WEIGHTS_ANNOUNCE;
	out->worker = least_loaded;
	out->model = model;
	out->version = jh_weights_newest(w, model);
	return true;
}

void
jh_weights_on_order_result(struct jh_weights *w, uint64_t now,
    const char *worker, enum jh_weights_result result)
{
	struct task *t = g_hash_table_lookup(w->tasks, worker);

	if (t == NULL)
		return;
	t->state = TASK_WAITING;
	t->next = now + RETRY_DELAY_USEC;
	t->failures++;
	switch (result) {
	case JH_WEIGHTS_ACCEPTED:
		t->failures = 0;
		t->state = TASK_LOADING;
		t->since = now;
		t->next = now + QUERY_INTERVAL_USEC;
		break;
	case JH_WEIGHTS_ALREADY_LOADED:
	case JH_WEIGHTS_BUSY:
	case JH_WEIGHTS_REFUSED:
	case JH_WEIGHTS_NO_ANSWER:
		break;
	}
}

void
jh_weights_on_report(struct jh_weights *w, uint64_t now, const char *worker,
    bool responded, bool busy, uint64_t weights)
{
	struct task *t = g_hash_table_lookup(w->tasks, worker);

	if (t == NULL)
		return;
	t->state = t->state_before;
	t->next = now + QUERY_INTERVAL_USEC;
	if (!responded) {
		t->failures++;
		if (t->is_probe)
			t->next = now + PROBE_RETRY_USEC;
		return;
	}
	if (busy) {
		/* An order whose reply was lost, or one of a former leader. */
		if (t->state != TASK_LOADING) {
			t->state = TASK_LOADING;
			t->since = now;
		}
		return;
	}
	if (t->state == TASK_WAITING)
		t->next = now;
	else if (weights >= t->version || now - t->since > REPORT_LAG_USEC) {
		/* Loaded, or no effect; a newer order may be due. */
		t->state = TASK_WAITING;
		t->next = now;
	}
}

void
jh_weights_reset(struct jh_weights *w)
{
	g_hash_table_remove_all(w->tasks);
}

bool
jh_weights_in_progress(const struct jh_weights *w, const char *worker)
{
	const struct task *t;

	/* Called for each worker many times a second, mostly without a task. */
	if (g_hash_table_size(w->tasks) == 0)
		return false;
	t = g_hash_table_lookup(w->tasks, worker);
	return t != NULL && !t->is_probe && t->failures <= MAX_FAILURES;
}
