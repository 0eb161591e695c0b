#include <string.h>

#include <glib.h>

#include "poison/entry.h"

uint64_t
jh_suspect_entry_last(const struct jh_suspect_entry *e)
{
	uint64_t last = e->hint > 0 ? e->hint_deadline : 0;
	unsigned int i;

	for (i = 0; i < e->n; i++)
		last = MAX(last, e->crash[i].deadline);
	return last;
}

/* All crashes count until the deadline of the last one. */
enum jh_suspect_state
jh_suspect_entry_state(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline)
{
	unsigned int count = 0, i;
	uint64_t last = 0;
	bool sole = false;

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
	if (sole || count >= JH_SUSPECT_LIMIT)
		return JH_SUSPECT_QUARANTINED;
	return count > 0 ? JH_SUSPECT_SUSPECT : JH_SUSPECT_NONE;
}

static int
compare(const struct jh_suspect_crash *a, const struct jh_suspect_crash *b)
{
	if (a->deadline != b->deadline)
		return a->deadline < b->deadline ? -1 : 1;
	if (a->reporter != b->reporter)
		return a->reporter < b->reporter ? -1 : 1;
	return (a->seq > b->seq) - (a->seq < b->seq);
}

/* Inserts in order; there is room. */
static void
insert(struct jh_suspect_entry *e, struct jh_suspect_crash c)
{
	unsigned int i;

	for (i = e->n++; i > 0 && compare(&c, &e->crash[i - 1]) < 0; i--)
		e->crash[i] = e->crash[i - 1];
	e->crash[i] = c;
}

static struct jh_suspect_crash
take(struct jh_suspect_entry *e, unsigned int i)
{
	struct jh_suspect_crash c = e->crash[i];

	e->n--;
	memmove(
	    &e->crash[i], &e->crash[i + 1], (e->n - i) * sizeof(e->crash[0]));
	return c;
}

static bool
merge_same(struct jh_suspect_entry *e, unsigned int i,
    const struct jh_suspect_crash *c)
{
	struct jh_suspect_crash old = take(e, i), new = old;

	new.cleared |= c->cleared;
	new.sole |= c->sole;
	/*
	 * Deadlines travel as remaining time and grow by the delay of each
	 * exchange; taking the earlier one keeps them from growing for ever.
	 */
	new.deadline = MIN(old.deadline, c->deadline);
	insert(e, new);
	return new.cleared != old.cleared || new.sole != old.sole;
}

bool
jh_suspect_entry_put(
    struct jh_suspect_entry *e, const struct jh_suspect_crash *c)
{
	unsigned int i;

	for (i = 0; i < e->n; i++) {
		if (e->crash[i].reporter == c->reporter &&
		    e->crash[i].seq == c->seq)
			return merge_same(e, i, c);
	}
	if (e->n == JH_SUSPECT_CRASHES) {
		if (compare(c, &e->crash[0]) < 0)
			return false;
		take(e, 0);
	}
	insert(e, *c);
	return true;
}
