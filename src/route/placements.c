#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "route/placements.h"

/* Prefixes kept in total. */
#define MAX_PREFIXES 8192

/* Prefixes that were not placed for this long are dropped first. */
#define EXPIRY_USEC (20 * JH_USEC_PER_SEC)

/* Placements that wait to be announced. */
#define MAX_QUEUED 256

struct jh_placements {
	GHashTable *prefixes; /* key to struct jh_prefix_sites */
	struct jh_placement queue[MAX_QUEUED];
	size_t n_queued;
};

struct jh_placements *
jh_placements_create(void)
{
	struct jh_placements *p = g_new0(struct jh_placements, 1);

	p->prefixes =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	return p;
}

void
jh_placements_destroy(struct jh_placements *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->prefixes);
	g_free(p);
}

static gboolean
is_expired(void *key, void *value, void *arg)
{
	const struct jh_prefix_sites *prefix = value;
	const uint64_t *now = arg;
	size_t i;

	for (i = 0; i < JH_PLACEMENTS_WORKERS; i++)
		if (prefix->at[i] != 0 && *now - prefix->at[i] < EXPIRY_USEC)
			return FALSE;
	return TRUE;
}

static struct jh_prefix_sites *
add_prefix(struct jh_placements *p, uint64_t now, uint64_t key)
{
	struct jh_prefix_sites *prefix = g_new0(struct jh_prefix_sites, 1);

	if (g_hash_table_size(p->prefixes) >= MAX_PREFIXES)
		g_hash_table_foreach_remove(p->prefixes, is_expired, &now);
	if (g_hash_table_size(p->prefixes) >= MAX_PREFIXES)
		g_hash_table_remove_all(p->prefixes);
	g_hash_table_insert(p->prefixes, g_memdup2(&key, sizeof(key)), prefix);
	return prefix;
}

void
jh_placements_add(
    struct jh_placements *p, uint64_t now, const struct jh_placement *at)
{
	struct jh_prefix_sites *prefix =
	    g_hash_table_lookup(p->prefixes, &at->key);
	size_t i, slot = 0;

	if (prefix == NULL)
		prefix = add_prefix(p, now, at->key);
	for (i = 0; i < JH_PLACEMENTS_WORKERS; i++) {
		if (prefix->worker[i] == at->worker) {
			slot = i;
			break;
		}
		if (prefix->at[i] < prefix->at[slot])
			slot = i;
	}
	prefix->worker[slot] = at->worker;
	prefix->at[slot] = now;
}

const struct jh_prefix_sites *
jh_placements_find(const struct jh_placements *p, uint64_t key)
{
	return g_hash_table_lookup(p->prefixes, &key);
}

uint64_t
jh_prefix_sites_last(const struct jh_prefix_sites *sites, uint64_t worker)
{
	size_t i;

	for (i = 0; sites != NULL && i < JH_PLACEMENTS_WORKERS; i++)
		if (sites->worker[i] == worker)
			return sites->at[i];
	return 0;
}

void
jh_placements_announce(struct jh_placements *p, const struct jh_placement *at)
{
	if (p->n_queued == MAX_QUEUED)
		memmove(p->queue, p->queue + 1,
		    --p->n_queued * sizeof(p->queue[0]));
	p->queue[p->n_queued++] = *at;
}

size_t
jh_placements_take_announcements(
    struct jh_placements *p, struct jh_placement *out, size_t max)
{
	size_t n = MIN(max, p->n_queued);

	memcpy(out, p->queue, n * sizeof(p->queue[0]));
	p->n_queued -= n;
	memmove(p->queue, p->queue + n, p->n_queued * sizeof(p->queue[0]));
	return n;
}
