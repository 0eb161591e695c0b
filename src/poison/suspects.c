#include "poison/table.h"

/*
 * An expired crash is remembered this much longer, so that a peer whose copy
 * expires later does not bring it back. Sealed messages are at most 30 s old.
 */
#define FORGET_USEC (60 * 1000000ULL)

static guint
hash_print(gconstpointer p)
{
	return (guint)((const struct jh_fingerprint *)p)->low;
}

static gboolean
equal_print(gconstpointer a, gconstpointer b)
{
	const struct jh_fingerprint *x = a, *y = b;

	return x->high == y->high && x->low == y->low;
}

struct jh_suspects *
jh_suspects_create(const struct jh_suspects_settings *set)
{
	struct jh_suspects *s = g_new0(struct jh_suspects, 1);

	s->set = *set;
	s->entries =
	    g_hash_table_new_full(hash_print, equal_print, NULL, g_free);
	return s;
}

void
jh_suspects_destroy(struct jh_suspects *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->entries);
	g_free(s);
}

struct jh_suspect_entry *
jh_suspects_find(const struct jh_suspects *s, struct jh_fingerprint print)
{
	return g_hash_table_lookup(s->entries, &print);
}

/* A suspect goes before a quarantined one, then the earlier deadline. */
static bool
less_important(const struct jh_suspect_entry *a,
    const struct jh_suspect_entry *b, uint64_t now)
{
	enum jh_suspect_state x = jh_suspect_entry_state(a, now, NULL);
	enum jh_suspect_state y = jh_suspect_entry_state(b, now, NULL);

	if (x != y)
		return x < y;
	return jh_suspect_entry_last(a) < jh_suspect_entry_last(b);
}

static void
evict(struct jh_suspects *s, uint64_t now)
{
	struct jh_suspect_entry *e, *worst = NULL;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (worst == NULL || less_important(e, worst, now))
			worst = e;
	}
	if (worst != NULL)
		g_hash_table_remove(s->entries, &worst->print);
}

struct jh_suspect_entry *
jh_suspects_open(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint print)
{
	struct jh_suspect_entry *e = jh_suspects_find(s, print);

	if (e != NULL)
		return e;
	if (g_hash_table_size(s->entries) >= s->set.max_entries)
		evict(s, now);
	e = g_new0(struct jh_suspect_entry, 1);
	e->print = print;
	g_hash_table_insert(s->entries, &e->print, e);
	return e;
}

enum jh_suspect_state
jh_suspects_state(const struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint print, uint64_t *deadline)
{
	const struct jh_suspect_entry *e = jh_suspects_find(s, print);

	if (e != NULL)
		return jh_suspect_entry_state(e, now, deadline);
	if (deadline != NULL)
		*deadline = 0;
	return JH_SUSPECT_NONE;
}

static bool
crash_known(const struct jh_suspect_entry *e, uint64_t reporter, uint64_t seq)
{
	unsigned int i;

	for (i = 0; e != NULL && i < e->n; i++) {
		if (e->crash[i].reporter == reporter && e->crash[i].seq == seq)
			return true;
	}
	return false;
}

static bool
listed(const struct jh_fingerprint *batch, size_t n, struct jh_fingerprint p)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (equal_print(&batch[i], &p))
			return true;
	}
	return false;
}

/* Different suspects in the batch. */
static size_t
count_suspects(const struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *batch, size_t n)
{
	size_t i, count = 0;

	for (i = 0; i < n; i++)
		count += !listed(batch, i, batch[i]) &&
			 jh_suspects_state(s, now, batch[i], NULL) !=
			     JH_SUSPECT_NONE;
	return count;
}

void
jh_suspects_crashed(struct jh_suspects *s, uint64_t now, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *batch, size_t n)
{
	bool one = count_suspects(s, now, batch, n) == 1;
	struct jh_suspect_crash c = {.reporter = reporter,
	    .seq = seq,
	    .deadline = now + s->set.hold_usec};
	struct jh_suspect_entry *e;
	size_t i;

	for (i = 0; i < n; i++) {
		if (crash_known(jh_suspects_find(s, batch[i]), reporter, seq))
			continue;
		c.sole = one && jh_suspects_state(s, now, batch[i], NULL) !=
				    JH_SUSPECT_NONE;
		e = jh_suspects_open(s, now, batch[i]);
		if (jh_suspect_entry_put(e, &c))
			e->rev = ++s->rev;
	}
}

void
jh_suspects_hint(struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint print, unsigned int crashes)
{
	struct jh_suspect_entry *e;

	if (crashes == 0)
		return;
	e = jh_suspects_open(s, now, print);
	/* A repeat of the hint does not extend it. */
	if (e->hint_deadline > now && e->hint >= crashes)
		return;
	e->hint = crashes;
	e->hint_deadline = now + s->set.hold_usec;
}

void
jh_suspects_succeeded(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint print)
{
	struct jh_suspect_entry *e = jh_suspects_find(s, print);
	unsigned int i;

	if (e == NULL ||
	    jh_suspect_entry_state(e, now, NULL) != JH_SUSPECT_SUSPECT)
		return;
	for (i = 0; i < e->n; i++)
		e->crash[i].cleared = true;
	e->hint = 0;
	e->hint_deadline = 0;
	e->rev = ++s->rev;
}

enum jh_suspect_verdict
jh_suspects_may_run(const struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint print, const struct jh_fingerprint *running, size_t n)
{
	size_t i;

	switch (jh_suspects_state(s, now, print, NULL)) {
	case JH_SUSPECT_NONE:
		return JH_SUSPECT_RUN;
	case JH_SUSPECT_QUARANTINED:
		return JH_SUSPECT_REFUSE;
	case JH_SUSPECT_SUSPECT:
		break;
	}
	for (i = 0; i < n; i++) {
		if (jh_suspects_state(s, now, running[i], NULL) !=
		    JH_SUSPECT_NONE)
			return JH_SUSPECT_WAIT;
	}
	return JH_SUSPECT_RUN;
}

void
jh_suspects_expire(struct jh_suspects *s, uint64_t now)
{
	struct jh_suspect_entry *e;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (jh_suspect_entry_last(e) + FORGET_USEC <= now)
			g_hash_table_iter_remove(&it);
	}
}

size_t
jh_suspects_len(const struct jh_suspects *s)
{
	return g_hash_table_size(s->entries);
}
