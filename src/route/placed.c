#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "route/placed.h"

/* Workers remembered for one part, and parts remembered at all. */
#define PART_WORKERS 4
#define MOST_PARTS 8192

/* Parts that were not placed for so long are forgotten first. */
#define OLD_USEC (20 * JH_USEC_PER_SEC)

/* Placements that wait to be told. */
#define MOST_NEWS 256

struct part {
	uint64_t worker[PART_WORKERS];
	uint64_t at[PART_WORKERS]; /* 0: the place is free */
};

struct jh_placed {
	GHashTable *parts; /* key to struct part */
	struct jh_placement news[MOST_NEWS];
	size_t n_news;
};

struct jh_placed *
jh_placed_create(void)
{
	struct jh_placed *p = g_new0(struct jh_placed, 1);

	p->parts =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return p;
}

void
jh_placed_destroy(struct jh_placed *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->parts);
	g_free(p);
}

static gboolean
is_old(void *key, void *value, void *arg)
{
	const struct part *part = value;
	const uint64_t *now = arg;
	size_t i;

	for (i = 0; i < PART_WORKERS; i++)
		if (part->at[i] != 0 && *now - part->at[i] < OLD_USEC)
			return FALSE;
	return TRUE;
}

static struct part *
add_part(struct jh_placed *p, uint64_t now, uint64_t key)
{
	struct part *part = g_new0(struct part, 1);

	if (g_hash_table_size(p->parts) >= MOST_PARTS)
		g_hash_table_foreach_remove(p->parts, is_old, &now);
	if (g_hash_table_size(p->parts) >= MOST_PARTS)
		g_hash_table_remove_all(p->parts);
	g_hash_table_insert(p->parts, g_memdup2(&key, sizeof(key)), part);
	return part;
}

void
jh_placed_add(struct jh_placed *p, uint64_t now, const struct jh_placement *at)
{
	struct part *part = g_hash_table_lookup(p->parts, &at->key);
	size_t i, slot = 0;

	if (part == NULL)
		part = add_part(p, now, at->key);
	for (i = 0; i < PART_WORKERS; i++) {
		if (part->worker[i] == at->worker) {
			slot = i;
			break;
		}
		if (part->at[i] < part->at[slot])
			slot = i;
	}
	part->worker[slot] = at->worker;
	part->at[slot] = now;
}

uint64_t
jh_placed_at(const struct jh_placed *p, uint64_t key, uint64_t worker)
{
	const struct part *part = g_hash_table_lookup(p->parts, &key);
	size_t i;

	for (i = 0; part != NULL && i < PART_WORKERS; i++)
		if (part->worker[i] == worker)
			return part->at[i];
	return 0;
}

void
jh_placed_tell(struct jh_placed *p, const struct jh_placement *at)
{
	if (p->n_news == MOST_NEWS)
		memmove(p->news, p->news + 1, --p->n_news * sizeof(p->news[0]));
	p->news[p->n_news++] = *at;
}

size_t
jh_placed_take_news(struct jh_placed *p, struct jh_placement *out, size_t max)
{
	size_t n = MIN(max, p->n_news);

	memcpy(out, p->news, n * sizeof(p->news[0]));
	p->n_news -= n;
	memmove(p->news, p->news + n, p->n_news * sizeof(p->news[0]));
	return n;
}
