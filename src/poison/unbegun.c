#include "poison/table.h"

void
jh_suspects_unbegun_crashed(struct jh_suspects *s, uint64_t now, uint64_t alive,
    uint64_t sent, uint64_t reporter, uint64_t seq,
    const struct jh_fingerprint *part, size_t n)
{
	struct jh_suspect_crash c =
	    jh_suspects_new_crash(s, now, alive, reporter, seq);
	size_t i;

	if (now < sent + JH_SUSPECT_MIN_RUN_USEC) {
		jh_suspects_engine_ended(s, now, alive, reporter, seq);
		return;
	}
	for (i = 0; i < n; i++) {
		c.had_output = jh_suspects_had_output(s, now, part[i]);
		jh_suspects_add_crash(
		    s, now, jh_fingerprint_unbegun(part[i]), &c);
	}
}

void
jh_suspects_engine_ended(struct jh_suspects *s, uint64_t now, uint64_t alive,
    uint64_t reporter, uint64_t seq)
{
	struct jh_suspect_crash c =
	    jh_suspects_new_crash(s, now, alive, reporter, seq);

	jh_suspects_add_crash(s, now, jh_fingerprint_of_ended(), &c);
}

static bool
was_at(const struct jh_suspect_crash *c, const struct jh_suspect_moment *m)
{
	const struct jh_suspect_crash *first = &m->entry->crash[m->first];
	const struct jh_suspect_crash *last = &m->entry->crash[m->end - 1];

	return jh_suspect_crash_at(c, last->deadline) &&
	       jh_suspect_crash_at(first, c->deadline);
}

/* A set of crashes of engines. */
struct crash_set {
	const struct jh_suspect_crash *crash[JH_SUSPECT_MAX_CRASHES + 1];
	unsigned int n;
};

static bool
is_in_set(const struct crash_set *set, const struct jh_suspect_crash *c)
{
	unsigned int i;

	for (i = 0; i < set->n; i++) {
		if (set->crash[i]->reporter == c->reporter &&
		    set->crash[i]->seq == c->seq)
			return true;
	}
	return false;
}

/* Adds the entry's crashes at the moment that the part was not in. */
static void
add_elsewhere(struct crash_set *set, const struct jh_suspect_entry *e,
    const struct jh_suspect_moment *m)
{
	const struct jh_suspect_crash *c;
	unsigned int i;

	for (i = 0; i < e->n && set->n < G_N_ELEMENTS(set->crash); i++) {
		c = &e->crash[i];
		if (!c->cleared && was_at(c, m) && !is_in_set(set, c) &&
		    jh_suspect_entry_find(m->entry, c->reporter, c->seq) ==
			m->entry->n)
			set->crash[set->n++] = c;
	}
}

/*
 * Whether most engines that ended at the moment did so without the part, as in
 * a power failure. Those that ended without any request, which no other cause
 * explains, are enough if they are as many as those with the part.
 */
static bool
mostly_ended_elsewhere(
    const struct jh_suspects *s, const struct jh_suspect_moment *m)
{
	struct crash_set idle = {.n = 0}, busy = {.n = 0};
	unsigned int own = m->end - m->first, n_idle = 0, i;
	const struct jh_suspect_entry *other;
	GHashTableIter it;

	g_hash_table_iter_init(&it, s->entries);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&other)) {
		add_elsewhere(
		    jh_fingerprint_is_ended(other->fingerprint) ? &idle : &busy,
		    other, m);
		if (busy.n > own)
			return true;
	}
	for (i = 0; i < idle.n; i++)
		n_idle += !is_in_set(&busy, idle.crash[i]);
	return n_idle >= own || busy.n + n_idle > own;
}

static unsigned int
count_crashes(const struct jh_suspects *s, const struct jh_suspect_entry *e)
{
	struct jh_suspect_moment m = jh_suspect_entry_next_moment(e, 0);
	unsigned int count = 0;

	for (; m.first < e->n; m = jh_suspect_entry_next_moment(e, m.end)) {
		if (!mostly_ended_elsewhere(s, &m))
			count += jh_suspect_moment_crashes(&m);
	}
	return count;
}

unsigned int
jh_suspects_unbegun_crashes(const struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *part, size_t n, uint64_t *deadline)
{
	const struct jh_suspect_entry *e;
	unsigned int most = 0, count;
	uint64_t until = 0;
	size_t i;

	if (deadline != NULL)
		*deadline = 0;
	for (i = 0; i < n && g_hash_table_size(s->entries) > 0; i++) {
		e = jh_suspects_find(s, jh_fingerprint_unbegun(part[i]));
		if (e == NULL || jh_suspects_had_output(s, now, part[i]) ||
		    jh_suspect_entry_unbegun_evidence(e, now, &until) <= most)
			continue;
		count = count_crashes(s, e);
		if (i + 1 < n)
			count -= MIN(count, JH_SUSPECT_SHARED_CRASHES);
		if (count <= most ||
		    jh_suspects_is_explained(s, now, e, part, n, false))
			continue;
		most = count;
		if (deadline != NULL)
			*deadline = until;
	}
	return most;
}
