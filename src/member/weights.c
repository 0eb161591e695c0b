#include <math.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "member/weights.h"

/* An accepted order is looked after this often. */
#define LOOK_USEC (250 * JH_USEC_PER_MSEC)

/* Pause after an order that was not accepted. */
#define RETRY_USEC (300 * JH_USEC_PER_MSEC)

/* Pause before a worker that did not answer is asked ahead again. */
#define AHEAD_USEC (2 * JH_USEC_PER_SEC)

/* A report is some hundred milliseconds old: an order may not show yet. */
#define IDLE_USEC (700 * JH_USEC_PER_MSEC)

/* An accepted order that shows no effect for this long is given again. */
#define EFFECT_USEC (4 * JH_USEC_PER_SEC)

/* Workers that do not answer keep no others waiting. */
#define MOST_FAILURES 2

enum task_state {
	TASK_CALLING, /* an order or a look has no answer yet */
	TASK_LOADING, /* the order was accepted */
	TASK_WAITING /* try again later */
};

struct task {
	enum task_state state;
	enum task_state before; /* CALLING: the state under a look */
	uint64_t version;
	uint64_t since; /* of the accepted order */
	uint64_t next; /* no action before */
	unsigned int failures; /* in a row */
	bool ahead; /* only a look, to learn the count of orders */
};

/* The versions of one model, oldest first. */
struct history {
	struct jh_named_weights named[JH_WEIGHTS_HISTORY];
	size_t n;
};

struct jh_weights {
	GHashTable *models; /* name to struct history */
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
	if (h->n > 0 && version <= h->named[h->n - 1].version)
		return false;
	if (h->n == JH_WEIGHTS_HISTORY)
		memmove(h->named, h->named + 1, --h->n * sizeof(h->named[0]));
	h->named[h->n++] = (struct jh_named_weights){version, since};
	return true;
}

uint64_t
jh_weights_newest(const struct jh_weights *w, const char *model)
{
	const struct history *h =
	    model != NULL ? g_hash_table_lookup(w->models, model) : NULL;

	return h != NULL ? h->named[h->n - 1].version : 0;
}

size_t
jh_weights_history(const struct jh_weights *w, const char *model,
    struct jh_named_weights out[JH_WEIGHTS_HISTORY])
{
	const struct history *h =
	    model != NULL ? g_hash_table_lookup(w->models, model) : NULL;

	if (h == NULL)
		return 0;
	memcpy(out, h->named, h->n * sizeof(out[0]));
	return h->n;
}

static bool
is_old(const struct jh_weights *w, const struct jh_worker *worker)
{
	return !worker->leaving && worker->missing_since == 0 &&
	       worker->weights != 0 &&
	       worker->weights < jh_weights_newest(w, worker->model);
}

/* Tasks of workers that have arrived or gone are done. */
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
		if (worker == NULL || (t->ahead && now >= t->next) ||
		    (!t->ahead && !is_old(w, worker)))
			g_hash_table_iter_remove(&it);
	}
}

static size_t
count_workers(struct jh_fleet *f, const char *model)
{
	size_t n = 0, i;

	for (i = 0; i < jh_fleet_count(f); i++)
		if (g_strcmp0(jh_fleet_at(f, i)->model, model) == 0)
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
		if (t->ahead)
			continue;
		if (t->state == TASK_LOADING || t->failures <= MOST_FAILURES)
			n++;
	}
	return n;
}

static void
act(struct task *t, struct jh_worker *worker, enum jh_weights_action_kind kind,
    uint64_t version, struct jh_weights_action *out)
{
	t->before = t->state;
	t->state = TASK_CALLING;
	t->version = version;
	out->kind = kind;
	out->worker = worker;
	out->version = version;
	out->expected = worker->orders;
}

/* The next step of a task that exists. */
static bool
step(struct task *t, struct jh_worker *worker, uint64_t now, uint64_t version,
    struct jh_weights_action *out)
{
	if (t->state == TASK_CALLING || now < t->next)
		return false;
	if (t->state == TASK_LOADING) {
		if (now - t->since > EFFECT_USEC) {
			t->state = TASK_WAITING;
			worker->orders_known = false;
		}
		act(t, worker, JH_WEIGHTS_LOOK, t->version, out);
		return true;
	}
	act(t, worker,
	    worker->orders_known ? JH_WEIGHTS_ORDER : JH_WEIGHTS_LOOK, version,
	    out);
	return true;
}

/* A worker whose count of orders is not known is asked before it is needed. */
static bool
look_ahead(struct jh_weights *w, struct jh_worker *worker, uint64_t now,
    struct jh_weights_action *out)
{
	struct task *t = g_hash_table_lookup(w->tasks, worker->id);

	if (worker->model == NULL || worker->leaving || worker->orders_known ||
	    t != NULL || now < worker->hold_until)
		return false;
	t = g_new0(struct task, 1);
	t->state = TASK_WAITING;
	t->ahead = true;
	g_hash_table_insert(w->tasks, g_strdup(worker->id), t);
	act(t, worker, JH_WEIGHTS_LOOK, worker->weights, out);
	return true;
}

bool
jh_weights_pending(struct jh_weights *w, struct jh_fleet *f)
{
	size_t i;

	for (i = 0; i < jh_fleet_count(f); i++) {
		const struct jh_worker *worker = jh_fleet_at(f, i);
		if (is_old(w, worker) ||
		    (worker->model != NULL && !worker->orders_known))
			return true;
	}
	return g_hash_table_size(w->tasks) > 0;
}

bool
jh_weights_next(struct jh_weights *w, struct jh_fleet *f, uint64_t now,
    struct jh_weights_action *out)
{
	struct jh_worker *idlest = NULL;
	struct task *t;
	size_t i, most;

	prune(w, f, now);
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *worker = jh_fleet_at(f, i);
		if (look_ahead(w, worker, now, out))
			return true;
		if (!is_old(w, worker))
			continue;
		t = g_hash_table_lookup(w->tasks, worker->id);
		if (t != NULL && t->ahead && t->state == TASK_WAITING) {
			g_hash_table_remove(w->tasks, worker->id);
			t = NULL;
		}
		if (t != NULL) {
			if (step(t, worker, now,
				jh_weights_newest(w, worker->model), out))
				return true;
			continue;
		}
		if (now < worker->hold_until)
			continue;
		if (idlest == NULL || worker->running < idlest->running)
			idlest = worker;
	}
	if (idlest == NULL)
		return false;
	most = (size_t)ceil(
	    JH_WEIGHTS_SHARE * (double)count_workers(f, idlest->model));
	if (count_loading(w) >= MAX(most, JH_WEIGHTS_LEAST))
		return false;
	t = g_new0(struct task, 1);
	t->state = TASK_WAITING;
	g_hash_table_insert(w->tasks, g_strdup(idlest->id), t);
	t->next = now + JH_WEIGHTS_NOTICE_USEC;
	out->kind = JH_WEIGHTS_ANNOUNCE;
	out->worker = idlest;
	out->version = jh_weights_newest(w, idlest->model);
	return true;
}

void
jh_weights_ordered(struct jh_weights *w, uint64_t now, const char *worker,
    enum jh_weights_result result)
{
	struct task *t = g_hash_table_lookup(w->tasks, worker);

	if (t == NULL)
		return;
	t->state = TASK_WAITING;
	t->next = now + RETRY_USEC;
	t->failures++;
	switch (result) {
	case JH_WEIGHTS_ACCEPTED:
		t->failures = 0;
		t->state = TASK_LOADING;
		t->since = now;
		t->next = now + LOOK_USEC;
		break;
	case JH_WEIGHTS_HOLDS:
	case JH_WEIGHTS_BUSY:
	case JH_WEIGHTS_REFUSED:
	case JH_WEIGHTS_NO_ANSWER:
		break;
	}
}

void
jh_weights_looked(struct jh_weights *w, uint64_t now, const char *worker,
    bool answered, bool busy, uint64_t weights)
{
	struct task *t = g_hash_table_lookup(w->tasks, worker);

	if (t == NULL)
		return;
	t->state = t->before;
	t->next = now + LOOK_USEC;
	if (!answered) {
		t->failures++;
		if (t->ahead)
			t->next = now + AHEAD_USEC;
		return;
	}
	if (busy) {
		/* An order whose answer was lost, or a former holder's. */
		if (t->state != TASK_LOADING) {
			t->state = TASK_LOADING;
			t->since = now;
		}
		return;
	}
	if (t->state == TASK_WAITING)
		t->next = now;
	else if (weights >= t->version || now - t->since > IDLE_USEC) {
		/* Done, or the order had no effect; a newer one may be due. */
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
jh_weights_under_way(const struct jh_weights *w, const char *worker)
{
	const struct task *t;

	/* Asked for each worker many times a second, mostly in vain. */
	if (g_hash_table_size(w->tasks) == 0)
		return false;
	t = g_hash_table_lookup(w->tasks, worker);
	return t != NULL && !t->ahead && t->failures <= MOST_FAILURES;
}
