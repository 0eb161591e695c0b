#include "poison/table.h"

/*
 * An expired crash is kept this much longer, so that a peer whose copy expires
 * later does not add it again. Sealed messages are accepted up to an age of
 * 30 s.
 */
#define EXPIRED_RETENTION_USEC (60 * 1000000ULL)

static guint
hash_fingerprint(gconstpointer p)
{
	return (guint)((const struct jh_fingerprint *)p)->low;
}

static gboolean
fingerprint_eq(gconstpointer a, gconstpointer b)
{
	const struct jh_fingerprint *x = a, *y = b;

	return x->high == y->high && x->low == y->low;
}

bool
jh_fingerprint_in(
    const struct jh_fingerprint *list, size_t n, struct jh_fingerprint f)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (fingerprint_eq(&list[i], &f))
			return true;
	}
	return false;
}

struct jh_suspects *
jh_suspects_create(const struct jh_suspects_settings *settings)
{
	struct jh_suspects *s = g_new0(struct jh_suspects, 1);

	s->settings = *settings;
	s->entries = g_hash_table_new_full(
	    hash_fingerprint, fingerprint_eq, NULL, g_free);
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
jh_suspects_find(const struct jh_suspects *s, struct jh_fingerprint fingerprint)
{
	return g_hash_table_lookup(s->entries, &fingerprint);
}

/* Eviction order: suspects before quarantined entries, then earliest first. */
static bool
evict_before(const struct jh_suspect_entry *a, const struct jh_suspect_entry *b,
    uint64_t now)
{
	enum jh_suspect_state x = jh_suspect_entry_state(a, now, NULL);
	enum jh_suspect_state y = jh_suspect_entry_state(b, now, NULL);

	if (x != y)
		return x < y;
	return jh_suspect_entry_last_deadline(a) <
	       jh_suspect_entry_last_deadline(b);
}

static void
evict(struct jh_suspects *s, uint64_t now)
{
	struct jh_suspect_entry *e, *victim = NULL;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (victim == NULL || evict_before(e, victim, now))
			victim = e;
	}
	if (victim != NULL)
		g_hash_table_remove(s->entries, &victim->fingerprint);
}

struct jh_suspect_entry *
jh_suspects_find_or_add(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint)
{
	struct jh_suspect_entry *e = jh_suspects_find(s, fingerprint);

	if (e != NULL)
		return e;
	if (g_hash_table_size(s->entries) >= s->settings.max_entries)
		evict(s, now);
	e = g_new0(struct jh_suspect_entry, 1);
	e->fingerprint = fingerprint;
	g_hash_table_insert(s->entries, &e->fingerprint, e);
	return e;
}

enum jh_suspect_state
jh_suspects_state(const struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint fingerprint, uint64_t *deadline)
{
	const struct jh_suspect_entry *e = jh_suspects_find(s, fingerprint);

	if (e != NULL)
		return jh_suspect_entry_state(e, now, deadline);
	if (deadline != NULL)
		*deadline = 0;
	return JH_SUSPECT_NONE;
}

/* Returns the number of distinct suspects in the batch. */
static size_t
count_suspects(const struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *batch, size_t n)
{
	size_t i, count = 0;

	for (i = 0; i < n; i++)
		count += !jh_fingerprint_in(batch, i, batch[i]) &&
			 jh_suspects_state(s, now, batch[i], NULL) !=
			     JH_SUSPECT_NONE;
	return count;
}

void
jh_suspects_crashed(struct jh_suspects *s, uint64_t now, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *batch, size_t n, size_t n_begun)
{
	bool single_suspect = count_suspects(s, now, batch, n) == 1;
	/* Requests that have had output may only have been beside the cause. */
	size_t n_sole = n_begun < n ? n - n_begun : n;
	struct jh_suspect_crash c = {.reporter = reporter,
	    .seq = seq,
	    .deadline = now + s->settings.hold_usec};
	struct jh_suspect_entry *e;
	size_t i;

	for (i = 0; i < n; i++) {
		e = jh_suspects_find(s, batch[i]);
		if (e != NULL && jh_suspect_entry_find(e, reporter, seq) < e->n)
			continue;
		c.sole = single_suspect && i < n_sole &&
			 jh_suspects_state(s, now, batch[i], NULL) !=
			     JH_SUSPECT_NONE;
		e = jh_suspects_find_or_add(s, now, batch[i]);
		if (jh_suspect_entry_merge(e, &c))
			e->revision = ++s->revision;
	}
}

void
jh_suspects_hint(struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint fingerprint, unsigned int crashes)
{
	struct jh_suspect_entry *e;

	if (crashes == 0)
		return;
	e = jh_suspects_find_or_add(s, now, fingerprint);
	/* Repeating a hint does not extend its deadline. */
	if (e->hint_deadline > now && e->hint >= crashes)
		return;
	e->hint = crashes;
	e->hint_deadline = now + s->settings.hold_usec;
}

static void
clear_crashes(struct jh_suspects *s, struct jh_suspect_entry *e)
{
	unsigned int i;

	for (i = 0; i < e->n; i++)
		e->crash[i].cleared = true;
	e->hint = 0;
	e->hint_deadline = 0;
	e->revision = ++s->revision;
}

void
jh_suspects_succeeded(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint)
{
	struct jh_suspect_entry *e = jh_suspects_find(s, fingerprint);

	if (e != NULL &&
	    jh_suspect_entry_state(e, now, NULL) == JH_SUSPECT_SUSPECT)
		clear_crashes(s, e);
}

/* Whether it was the only suspect in a crash, or the hint says so. */
static bool
is_found_cause(const struct jh_suspect_entry *e)
{
	unsigned int i;

	for (i = 0; i < e->n; i++) {
		if (e->crash[i].sole && !e->crash[i].cleared)
			return true;
	}
	return e->hint >= JH_SUSPECT_QUARANTINE_CRASHES;
}

void
jh_suspects_progressed(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint)
{
	struct jh_suspect_entry *e = jh_suspects_find(s, fingerprint);

	if (e != NULL &&
	    jh_suspect_entry_state(e, now, NULL) != JH_SUSPECT_NONE &&
	    !is_found_cause(e))
		clear_crashes(s, e);
}

enum jh_suspect_decision
jh_suspects_may_run(const struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint fingerprint, const struct jh_fingerprint *running,
    size_t n)
{
	size_t i;

	switch (jh_suspects_state(s, now, fingerprint, NULL)) {
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
		if (jh_suspect_entry_last_deadline(e) +
			EXPIRED_RETENTION_USEC <=
		    now)
			g_hash_table_iter_remove(&it);
	}
}

size_t
jh_suspects_len(const struct jh_suspects *s)
{
	return g_hash_table_size(s->entries);
}
