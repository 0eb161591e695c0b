#include <glib.h>

#include "soak/part_checker.h"

/* The rules count from this crash on, or from the last if there are fewer. */
#define COUNTED_CRASH 5
/* Requests with the part that may reach workers later (BUDGET). */
#define MAX_LATE_RUNS 3
/* Sound requests begin at least this fraction as often as without the part. */
#define MIN_SOUND_RATIO 0.5
#define MIN_SOUND_REQUESTS 20

struct sound_request {
	const struct soak_request *request;
	bool began, calm;
};

struct soak_part_checker {
	uint64_t connected_after;
	unsigned int crashes;
	uint64_t counted_crash; /* time of the fifth, or the last; 0: none */
	unsigned int late_runs;
	uint64_t first_sent, last_sent; /* of requests with the part; 0: none */
	GHashTable *orgs, *first_parts; /* of requests with the part */
	GArray *sound; /* struct sound_request */
};

struct share {
	unsigned int count, began;
};

/* Sound requests beside those that crash workers, and without them. */
struct comparison {
	struct share beside, outside;
};

struct soak_part_checker *
soak_part_checker_create(uint64_t connected_after)
{
	struct soak_part_checker *pc = g_new0(struct soak_part_checker, 1);

	pc->connected_after = connected_after;
	pc->orgs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pc->first_parts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pc->sound = g_array_new(FALSE, TRUE, sizeof(struct sound_request));
	return pc;
}

void
soak_part_checker_destroy(struct soak_part_checker *pc)
{
	g_hash_table_destroy(pc->orgs);
	g_hash_table_destroy(pc->first_parts);
	g_array_free(pc->sound, TRUE);
	g_free(pc);
}

void
soak_part_checker_sent(
    struct soak_part_checker *pc, const struct soak_request *r)
{
	if (pc->first_sent == 0)
		pc->first_sent = r->sent;
	pc->last_sent = r->sent;
	g_hash_table_add(pc->orgs, g_strdup(r->org));
	g_hash_table_add(pc->first_parts, g_strdup(r->first_part));
}

void
soak_part_checker_ran(struct soak_part_checker *pc, uint64_t now)
{
	if (pc->crashes >= COUNTED_CRASH &&
	    now > pc->counted_crash + pc->connected_after)
		pc->late_runs++;
}

void
soak_part_checker_crashed(struct soak_part_checker *pc, uint64_t now)
{
	if (++pc->crashes <= COUNTED_CRASH)
		pc->counted_crash = now;
}

void
soak_part_checker_ended(struct soak_part_checker *pc,
    const struct soak_request *r, bool began, bool calm)
{
	struct sound_request s = {r, began, calm};

	g_array_append_val(pc->sound, s);
}

/* Whether it shares its key or its first part with one that has the part. */
static bool
is_related(const struct soak_part_checker *pc, const struct soak_request *r)
{
	return g_hash_table_contains(pc->orgs, r->org) ||
	       (r->first_part != NULL &&
		   g_hash_table_contains(pc->first_parts, r->first_part));
}

static bool
is_beside(const struct soak_part_checker *pc, uint64_t sent)
{
	return sent >= pc->counted_crash + 2 * pc->connected_after &&
	       sent <= pc->last_sent;
}

static bool
is_outside(const struct soak_part_checker *pc, uint64_t sent)
{
	return sent < pc->first_sent ||
	       sent > pc->last_sent + pc->connected_after;
}

static void
count(struct share *share, const struct sound_request *s)
{
	share->count++;
	share->began += s->began ? 1 : 0;
}

static double
ratio(const struct share *share)
{
	return (double)share->began / share->count;
}

static void
compare(const struct soak_part_checker *pc, const struct sound_request *s,
    struct comparison *c)
{
	if (is_beside(pc, s->request->sent))
		count(&c->beside, s);
	else if (s->calm && is_outside(pc, s->request->sent))
		count(&c->outside, s);
}

/* Counts the request at each part of its prompt. */
static void
compare_parts(const struct soak_part_checker *pc, const struct sound_request *s,
    GHashTable *by_part)
{
	char **parts = g_strsplit(
	    s->request->parts != NULL ? s->request->parts : "", ",", -1);
	struct comparison *c;
	unsigned int i;

	for (i = 0; parts[i] != NULL; i++) {
		c = g_hash_table_lookup(by_part, parts[i]);
		if (c == NULL) {
			c = g_new0(struct comparison, 1);
			g_hash_table_insert(by_part, g_strdup(parts[i]), c);
		}
		compare(pc, s, c);
	}
	g_strfreev(parts);
}

/* Reports too small a share; part: of which they are, or "". */
static bool
check_share(const struct comparison *c, const char *part, uint64_t now,
    struct soak_checker *ck)
{
	if (c->beside.count < MIN_SOUND_REQUESTS ||
	    c->outside.count < MIN_SOUND_REQUESTS ||
	    ratio(&c->beside) >= MIN_SOUND_RATIO * ratio(&c->outside))
		return true;
	soak_checker_add_violation(ck, now, "LOST",
	    "%u of %u sound requests %s%s began beside those with a part that "
	    "crashes workers, %u of %u without them",
	    c->beside.began, c->beside.count, part[0] != '\0' ? "with " : "",
	    part, c->outside.began, c->outside.count);
	return false;
}

static void
check_sound(
    const struct soak_part_checker *pc, uint64_t now, struct soak_checker *ck)
{
	GHashTable *by_part =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	struct comparison all = {0};
	GHashTableIter it;
	gpointer part, c;
	guint i;

	for (i = 0; i < pc->sound->len; i++) {
		const struct sound_request *s =
		    &g_array_index(pc->sound, struct sound_request, i);
		if (!is_related(pc, s->request))
			continue;
		compare(pc, s, &all);
		compare_parts(pc, s, by_part);
	}
	g_hash_table_iter_init(&it, by_part);
	if (check_share(&all, "", now, ck)) {
		while (g_hash_table_iter_next(&it, &part, &c))
			check_share(c, part, now, ck);
	}
	g_hash_table_destroy(by_part);
}

void
soak_part_checker_finish(
    const struct soak_part_checker *pc, uint64_t now, struct soak_checker *ck)
{
	if (pc->crashes == 0)
		return;
	if (pc->late_runs > MAX_LATE_RUNS)
		soak_checker_add_violation(ck, now, "BUDGET",
		    "requests with a part that had crashed %d workers reached "
		    "workers %u times more; %u crashed in all",
		    COUNTED_CRASH, pc->late_runs, pc->crashes);
	check_sound(pc, now, ck);
}
