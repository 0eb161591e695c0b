#include "poison/table.h"

static size_t
output_slot(struct jh_fingerprint part)
{
	return (part.low ^ part.high) % JH_SUSPECT_OUTPUTS;
}

bool
jh_suspects_had_output(
    const struct jh_suspects *s, uint64_t now, struct jh_fingerprint part)
{
	const struct jh_suspect_output *o = &s->output[output_slot(part)];

	return o->deadline > now && jh_fingerprint_in(&part, 1, o->part);
}

void
jh_suspects_note_output(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint part)
{
	s->output[output_slot(part)] =
	    (struct jh_suspect_output){part, now + s->settings.hold_usec};
}

struct jh_suspect_crash
jh_suspects_new_crash(const struct jh_suspects *s, uint64_t now, uint64_t alive,
    uint64_t reporter, uint64_t seq)
{
	return (struct jh_suspect_crash){.reporter = reporter,
	    .seq = seq,
	    .deadline = now + s->settings.hold_usec,
	    .width_usec = now - MIN(alive, now)};
}

void
jh_suspects_add_crash(struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint fingerprint, const struct jh_suspect_crash *c)
{
	struct jh_suspect_entry *e =
	    jh_suspects_find_or_add(s, now, fingerprint);

	if (jh_suspect_entry_merge(e, c))
		e->revision = ++s->revision;
}

void
jh_suspects_parts_crashed(struct jh_suspects *s, uint64_t now, uint64_t alive,
    uint64_t reporter, uint64_t seq, const struct jh_fingerprint *part,
    size_t n)
{
	struct jh_suspect_crash c =
	    jh_suspects_new_crash(s, now, alive, reporter, seq);
	size_t i;

	for (i = 0; i < n; i++) {
		c.had_output = jh_suspects_had_output(s, now, part[i]);
		jh_suspects_add_crash(s, now, part[i], &c);
	}
}

void
jh_suspects_clear(struct jh_suspects *s, struct jh_fingerprint fingerprint)
{
	struct jh_suspect_entry *e = jh_suspects_find(s, fingerprint);
	bool changed = false;
	unsigned int i;

	if (e == NULL)
		return;
	for (i = 0; i < e->n; i++) {
		changed |= !e->crash[i].cleared;
		e->crash[i].cleared = true;
		e->crash[i].had_output = true;
	}
	if (changed)
		e->revision = ++s->revision;
}

void
jh_suspects_parts_succeeded(struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *part, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		jh_suspects_note_output(s, now, part[i]);
		jh_suspects_clear(s, part[i]);
		jh_suspects_clear(s, jh_fingerprint_unbegun(part[i]));
	}
}

/* Crashes of a part that no other part explains, but chance may. */
#define STRAY_CRASHES 1

static unsigned int
count_counted(const struct jh_suspect_entry *e)
{
	unsigned int n = 0, i;

	for (i = 0; i < e->n; i++)
		n += !e->crash[i].cleared;
	return n;
}

/*
 * Whether the other part may be the cause of crashes that e was in too. Before
 * a response head, requests wait together: one explains another only if it was
 * in more crashes, so that two causes don't explain each other.
 */
static bool
may_explain(const struct jh_suspect_entry *other,
    const struct jh_suspect_entry *e, uint64_t now)
{
	if (jh_fingerprint_is_unbegun(other->fingerprint)) {
		if (!jh_fingerprint_is_unbegun(e->fingerprint) ||
		    jh_suspect_entry_had_output(other) ||
		    count_counted(other) <= count_counted(e))
			return false;
	} else if (!jh_fingerprint_is_part(other->fingerprint)) {
		return false;
	}
	return jh_suspect_entry_state(other, now, NULL) ==
		   JH_SUSPECT_QUARANTINED ||
	       jh_suspect_entry_part_crashes(e, other, now, NULL) == 0;
}

/*
 * Parts without output, each in two crashes or more, that may together explain
 * those of a part with output. More would let a part that turns into a cause
 * go on.
 */
#define MAX_NEW_CAUSES 2

/* Whether the part has had no output and may be a cause nonetheless. */
static bool
may_be_new_cause(const struct jh_suspect_entry *e, uint64_t now)
{
	return jh_fingerprint_is_part(e->fingerprint) &&
	       !jh_suspect_entry_had_output(e) &&
	       jh_suspect_entry_part_crashes(e, NULL, now, NULL) >=
		   JH_SUSPECT_NO_RETRY_CRASHES;
}

/*
 * Removes the crashes of the part without output, not of the request, that was
 * in most of them, at least two; returns whether there is one.
 */
static bool
remove_new_cause(const struct jh_suspects *s, uint64_t now,
    struct jh_suspect_entry *left, const struct jh_fingerprint *part, size_t n)
{
	const struct jh_suspect_entry *other;
	struct jh_suspect_entry rest, fewest = *left;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other)) {
		if (!may_be_new_cause(other, now) ||
		    jh_fingerprint_in(part, n, other->fingerprint))
			continue;
		rest = *left;
		if (jh_suspect_entry_remove(&rest, other) &&
		    rest.n + 1 < left->n && rest.n < fewest.n)
			fewest = rest;
	}
	if (fewest.n == left->n)
		return false;
	*left = fewest;
	return true;
}

static bool
has_part(const struct jh_fingerprint *part, size_t n, struct jh_fingerprint f)
{
	if (jh_fingerprint_is_unbegun(f))
		f = jh_fingerprint_of_part(f.low);
	return jh_fingerprint_in(part, n, f);
}

bool
jh_suspects_is_explained(const struct jh_suspects *s, uint64_t now,
    const struct jh_suspect_entry *e, const struct jh_fingerprint *part,
    size_t n, bool with_output)
{
	struct jh_suspect_entry left = *e;
	const struct jh_suspect_entry *other;
	bool some = false;
	GHashTableIter it;
	unsigned int i;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other)) {
		if (has_part(part, n, other->fingerprint) ||
		    !may_explain(other, e, now))
			continue;
		some |= jh_suspect_entry_remove(&left, other);
	}
	with_output &= jh_suspect_entry_had_output(e);
	for (i = 0; i < MAX_NEW_CAUSES && with_output; i++)
		some |= remove_new_cause(s, now, &left, part, n);
	return some && jh_suspect_entry_part_crashes(&left, NULL, now, NULL) <=
			   STRAY_CRASHES;
}

/* with_output: take earlier output of parts into account. */
static unsigned int
most_crashes(const struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *part, size_t n, bool with_output,
    uint64_t *deadline)
{
	const struct jh_suspect_entry *e;
	unsigned int most = 0, count;
	uint64_t until = 0;
	size_t i;

	*deadline = 0;
	for (i = 0; i < n && g_hash_table_size(s->entries) > 0; i++) {
		e = jh_suspects_find(s, part[i]);
		if (e == NULL)
			continue;
		count =
		    with_output
			? jh_suspect_entry_part_evidence(e, now, &until)
			: jh_suspect_entry_part_crashes(e, NULL, now, &until);
		if (count <= most ||
		    jh_suspects_is_explained(s, now, e, part, n, with_output))
			continue;
		most = count;
		*deadline = until;
	}
	return most;
}

unsigned int
jh_suspects_parts_crashes(const struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *part, size_t n, uint64_t *deadline)
{
	uint64_t until;

	return most_crashes(
	    s, now, part, n, true, deadline != NULL ? deadline : &until);
}

unsigned int
jh_suspects_parts_all_crashes(const struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *part, size_t n)
{
	uint64_t until;

	return most_crashes(s, now, part, n, false, &until);
}

size_t
jh_suspects_parts_quarantined(const struct jh_suspects *s, uint64_t now)
{
	const struct jh_suspect_entry *e;
	GHashTableIter it;
	size_t n = 0;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		if (jh_fingerprint_is_part(e->fingerprint) ||
		    jh_fingerprint_is_unbegun(e->fingerprint) ||
		    jh_fingerprint_is_midway(e->fingerprint))
			n += jh_suspect_entry_state(e, now, NULL) ==
			     JH_SUSPECT_QUARANTINED;
	}
	return n;
}

void
jh_suspects_crash_voided(struct jh_suspects *s, uint64_t reporter, uint64_t seq)
{
	struct jh_suspect_entry *e;
	GHashTableIter it;
	unsigned int i;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&e)) {
		i = jh_suspect_entry_find(e, reporter, seq);
		if (i == e->n || e->crash[i].cleared)
			continue;
		e->crash[i].cleared = true;
		e->revision = ++s->revision;
	}
}
