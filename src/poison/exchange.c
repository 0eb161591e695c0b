#include "poison/table.h"

static int
compare_revision(gconstpointer a, gconstpointer b)
{
	const struct jh_suspect_entry *x = *(gpointer *)a, *y = *(gpointer *)b;

	return (x->revision > y->revision) - (x->revision < y->revision);
}

static GPtrArray *
changed_since(const struct jh_suspects *s, uint64_t since)
{
	GPtrArray *out = g_ptr_array_new();
	struct jh_suspect_entry *e;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (e->revision > since)
			g_ptr_array_add(out, e);
	}
	g_ptr_array_sort(out, compare_revision);
	return out;
}

static size_t
copy_entry(const struct jh_suspect_entry *e, uint64_t now, struct jh_crash *out)
{
	uint64_t last = jh_suspect_entry_last_deadline(e);
	const struct jh_suspect_crash *c;
	unsigned int i;
	size_t n = 0;

	/* An expired crash still counts until the last one expires: copy it. */
	for (i = 0; i < e->n && last > now; i++) {
		c = &e->crash[i];
		out[n++] = (struct jh_crash){e->fingerprint, c->reporter,
		    c->seq, c->deadline > now ? c->deadline - now : 0,
		    c->width_usec, c->sole, c->cleared, c->had_output};
	}
	return n;
}

size_t
jh_suspects_export(const struct jh_suspects *s, uint64_t now, uint64_t since,
    struct jh_crash *out, size_t max, uint64_t *next)
{
	GPtrArray *changed = changed_since(s, since);
	struct jh_suspect_entry *e;
	size_t n = 0;
	guint i;

	*next = since;
	for (i = 0; i < changed->len; i++) {
		e = changed->pdata[i];
		if (e->n > max - n)
			break;
		n += copy_entry(e, now, out + n);
		*next = e->revision;
	}
	g_ptr_array_free(changed, TRUE);
	return n;
}

struct by_urgency {
	const struct jh_suspect_entry *entry;
	bool quarantined;
};

static int
compare_urgency(gconstpointer a, gconstpointer b)
{
	const struct by_urgency *x = a, *y = b;

	if (x->quarantined != y->quarantined)
		return x->quarantined ? -1 : 1;
	return (x->entry->revision < y->entry->revision) -
	       (x->entry->revision > y->entry->revision);
}

/* Copies entries from the first one on, as far as they fit; adds to *n. */
static void
copy_entries(const GArray *list, guint from, guint to, uint64_t now,
    struct jh_crash *out, size_t max, size_t *n)
{
	const struct jh_suspect_entry *e;
	guint i;

	for (i = from; i < to; i++) {
		e = g_array_index(list, struct by_urgency, i).entry;
		if (e->n <= max - *n)
			*n += copy_entry(e, now, out + *n);
	}
}

/* Whether the entry is of crashes of which there are many without a cause. */
static bool
is_weak(const struct jh_suspect_entry *e)
{
	return jh_fingerprint_is_unbegun(e->fingerprint) ||
	       jh_fingerprint_is_midway(e->fingerprint) ||
	       jh_fingerprint_is_ended(e->fingerprint);
}

static void
copy_latest(const struct jh_suspects *s, uint64_t now, uint64_t since,
    uint64_t turn, bool weak, struct jh_crash *out, size_t max, size_t *n)
{
	GArray *sorted = g_array_new(FALSE, FALSE, sizeof(struct by_urgency));
	guint quarantined = 0, first;
	struct by_urgency u;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&u.entry)) {
		if (is_weak(u.entry) != weak)
			continue;
		u.quarantined = jh_suspect_entry_state(u.entry, now, NULL) ==
				JH_SUSPECT_QUARANTINED;
		quarantined += u.quarantined;
		if (u.quarantined || u.entry->revision > since)
			g_array_append_val(sorted, u);
	}
	g_array_sort(sorted, compare_urgency);
	first = quarantined > 0 ? (guint)(turn % quarantined) : 0;
	copy_entries(sorted, first, quarantined, now, out, max, n);
	copy_entries(sorted, 0, first, now, out, max, n);
	copy_entries(sorted, quarantined, sorted->len, now, out, max, n);
	g_array_free(sorted, TRUE);
}

size_t
jh_suspects_export_latest(const struct jh_suspects *s, uint64_t now,
    uint64_t since, uint64_t turn, struct jh_crash *out, size_t max)
{
	size_t n = 0;

	copy_latest(s, now, since, turn, false, out, max, &n);
	copy_latest(s, now, since, turn, true, out, max, &n);
	return n;
}

uint64_t
jh_suspects_revision(const struct jh_suspects *s)
{
	return s->revision;
}

/*
 * Whether the sender counts a crash that is known to be cleared here: it has to
 * be told again.
 */
static bool
sender_missed_success(
    const struct jh_suspect_entry *e, const struct jh_suspect_crash *c)
{
	unsigned int i = jh_suspect_entry_find(e, c->reporter, c->seq);

	return !c->cleared && i < e->n && e->crash[i].cleared;
}

void
jh_suspects_merge(struct jh_suspects *s, uint64_t now,
    const struct jh_crash *crashes, size_t n)
{
	struct jh_suspect_entry *e;
	struct jh_suspect_crash c;
	size_t i;

	for (i = 0; i < n; i++) {
		c = (struct jh_suspect_crash){crashes[i].reporter,
		    crashes[i].seq,
		    now + MIN(crashes[i].remaining_usec, s->settings.hold_usec),
		    crashes[i].width_usec, crashes[i].sole, crashes[i].cleared,
		    crashes[i].had_output};
		e = jh_suspects_find_or_add(s, now, crashes[i].fingerprint);
		if (jh_suspect_entry_merge(e, &c) ||
		    sender_missed_success(e, &c))
			e->revision = ++s->revision;
	}
}
