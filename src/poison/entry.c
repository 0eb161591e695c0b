#include <string.h>

#include <glib.h>

#include "poison/entry.h"

uint64_t
jh_suspect_entry_last_deadline(const struct jh_suspect_entry *e)
{
	uint64_t last = e->hint > 0 ? e->hint_deadline : 0;
	unsigned int i;

	for (i = 0; i < e->n; i++)
		last = MAX(last, e->crash[i].deadline);
	return last;
}

unsigned int
jh_suspect_entry_find(
    const struct jh_suspect_entry *e, uint64_t reporter, uint64_t seq)
{
	unsigned int i;

	for (i = 0; i < e->n; i++) {
		if (e->crash[i].reporter == reporter && e->crash[i].seq == seq)
			break;
	}
	return i;
}

static bool
has_counted_crash(
    const struct jh_suspect_entry *e, const struct jh_suspect_crash *c)
{
	unsigned int i = jh_suspect_entry_find(e, c->reporter, c->seq);

	return i < e->n && !e->crash[i].cleared;
}

bool
jh_suspect_crash_at(const struct jh_suspect_crash *c, uint64_t deadline)
{
	return c->deadline <
	       deadline + MAX(JH_SUSPECT_CRASH_GAP_USEC, c->width_usec);
}

unsigned int
jh_suspect_entry_part_crashes(const struct jh_suspect_entry *e,
    const struct jh_suspect_entry *except, uint64_t now, uint64_t *deadline)
{
	unsigned int count = 0, i;
	uint64_t last = 0, counted = 0;

	for (i = 0; i < e->n; i++) {
		const struct jh_suspect_crash *c = &e->crash[i];
		if (c->cleared)
			continue;
		last = c->deadline;
		if (except != NULL && has_counted_crash(except, c))
			continue;
		if (count > 0 && jh_suspect_crash_at(c, counted))
			continue;
		counted = c->deadline;
		count++;
	}
	if (deadline != NULL)
		*deadline = last > now ? last : 0;
	return last > now ? count : 0;
}

bool
jh_suspect_entry_had_output(const struct jh_suspect_entry *e)
{
	unsigned int i;

	for (i = 0; i < e->n; i++) {
		if (e->crash[i].had_output)
			return true;
	}
	return false;
}

unsigned int
jh_suspect_entry_part_evidence(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline)
{
	unsigned int count =
	    jh_suspect_entry_part_crashes(e, NULL, now, deadline);
	unsigned int all = 0, i;

	if (count == 0 || !jh_suspect_entry_had_output(e))
		return count;
	for (i = 0; i < e->n; i++)
		all += !e->crash[i].cleared;
	return all > JH_SUSPECT_OUTPUT_CRASHES
		   ? MIN(count, all - JH_SUSPECT_OUTPUT_CRASHES)
		   : 1;
}

struct jh_suspect_moment
jh_suspect_entry_next_moment(
    const struct jh_suspect_entry *e, unsigned int from)
{
	struct jh_suspect_moment m = {e, from, from};

	while (m.first < e->n && e->crash[m.first].cleared)
		m.first++;
	m.end = m.first;
	while (m.end < e->n && jh_suspect_crash_at(&e->crash[m.end],
				   e->crash[m.first].deadline))
		m.end++;
	return m;
}

unsigned int
jh_suspect_moment_crashes(const struct jh_suspect_moment *m)
{
	unsigned int n = 0, i;

	for (i = m->first; i < m->end; i++)
		n += !m->entry->crash[i].cleared;
	return MIN(n, JH_SUSPECT_MOMENT_CRASHES);
}

unsigned int
jh_suspect_entry_unbegun_evidence(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline)
{
	struct jh_suspect_moment m = jh_suspect_entry_next_moment(e, 0);
	unsigned int count = 0;

	if (jh_suspect_entry_part_crashes(e, NULL, now, deadline) == 0 ||
	    jh_suspect_entry_had_output(e))
		return 0;
	for (; m.first < e->n; m = jh_suspect_entry_next_moment(e, m.end))
		count += jh_suspect_moment_crashes(&m);
	return count;
}

bool
jh_suspect_entry_remove(
    struct jh_suspect_entry *e, const struct jh_suspect_entry *other)
{
	unsigned int i, n = 0;
	bool removed;

	for (i = 0; i < e->n; i++) {
		if (!has_counted_crash(other, &e->crash[i]))
			e->crash[n++] = e->crash[i];
	}
	removed = n < e->n;
	e->n = n;
	return removed;
}

static enum jh_suspect_state
state_of(unsigned int count, bool sole)
{
	if (sole || count >= JH_SUSPECT_QUARANTINE_CRASHES)
		return JH_SUSPECT_QUARANTINED;
	return count > 0 ? JH_SUSPECT_SUSPECT : JH_SUSPECT_NONE;
}

/* A crash counts until the deadline of the latest one that is not cleared. */
enum jh_suspect_state
jh_suspect_entry_state(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline)
{
	unsigned int count = 0, i;
	uint64_t last = 0;
	bool sole = false;

	if (jh_fingerprint_is_part(e->fingerprint) ||
	    jh_fingerprint_is_midway(e->fingerprint))
		return state_of(
		    jh_suspect_entry_part_evidence(e, now, deadline), false);
	if (jh_fingerprint_is_ended(e->fingerprint))
		return JH_SUSPECT_NONE;
	if (jh_fingerprint_is_unbegun(e->fingerprint))
		return state_of(
		    jh_suspect_entry_unbegun_evidence(e, now, deadline), false);
	for (i = 0; i < e->n; i++) {
		if (e->crash[i].cleared)
			continue;
		count++;
		sole |= e->crash[i].sole;
		last = MAX(last, e->crash[i].deadline);
	}
	if (last <= now) {
		count = 0;
		sole = false;
		last = 0;
	}
	if (e->hint_deadline > now) {
		count = MAX(count, e->hint);
		last = MAX(last, e->hint_deadline);
	}
	if (deadline != NULL)
		*deadline = last;
	return state_of(count, sole);
}

static int
compare_crashes(
    const struct jh_suspect_crash *a, const struct jh_suspect_crash *b)
{
	if (a->deadline != b->deadline)
		return a->deadline < b->deadline ? -1 : 1;
	if (a->reporter != b->reporter)
		return a->reporter < b->reporter ? -1 : 1;
	return (a->seq > b->seq) - (a->seq < b->seq);
}

/* Inserts at the sorted position; the array must have room. */
static void
insert_sorted(struct jh_suspect_entry *e, struct jh_suspect_crash c)
{
	unsigned int i;

	for (i = e->n++; i > 0 && compare_crashes(&c, &e->crash[i - 1]) < 0;
	     i--)
		e->crash[i] = e->crash[i - 1];
	e->crash[i] = c;
}

static struct jh_suspect_crash
remove_at(struct jh_suspect_entry *e, unsigned int i)
{
	struct jh_suspect_crash c = e->crash[i];

	e->n--;
	memmove(
	    &e->crash[i], &e->crash[i + 1], (e->n - i) * sizeof(e->crash[0]));
	return c;
}

static bool
merge_duplicate(struct jh_suspect_entry *e, unsigned int i,
    const struct jh_suspect_crash *c)
{
	struct jh_suspect_crash old = e->crash[i], new = old;

	new.cleared |= c->cleared;
	new.sole |= c->sole;
	new.had_output |= c->had_output;
	/*
	 * Processes exchange deadlines as remaining time, which adds the
	 * transmission delay each time. Taking the earlier deadline keeps them
	 * from being extended for ever.
	 */
	if (c->deadline < old.deadline) {
		new.deadline = c->deadline;
		new.width_usec = c->width_usec;
	} else if (c->deadline == old.deadline)
		new.width_usec = MIN(old.width_usec, c->width_usec);
	if (new.deadline == old.deadline) {
		e->crash[i] = new;
	} else {
		remove_at(e, i);
		insert_sorted(e, new);
	}
	return new.cleared != old.cleared || new.sole != old.sole ||
	       new.had_output != old.had_output;
}

bool
jh_suspect_entry_merge(
    struct jh_suspect_entry *e, const struct jh_suspect_crash *c)
{
	unsigned int i = jh_suspect_entry_find(e, c->reporter, c->seq);

	if (i < e->n)
		return merge_duplicate(e, i, c);
	if (e->n == JH_SUSPECT_MAX_CRASHES) {
		if (compare_crashes(c, &e->crash[0]) < 0)
			return false;
		remove_at(e, 0);
	}
	insert_sorted(e, *c);
	return true;
}
