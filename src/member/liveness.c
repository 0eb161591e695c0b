#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "member/liveness.h"

struct jh_liveness {
	GHashTable *last_seen; /* process name to uint64_t, a time */
	uint64_t next_removal; /* earliest time of the next removal */
};

struct jh_liveness *
jh_liveness_create(void)
{
	struct jh_liveness *l = g_new0(struct jh_liveness, 1);

	l->last_seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void
jh_liveness_destroy(struct jh_liveness *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->last_seen);
	g_free(l);
}

void
jh_liveness_seen(struct jh_liveness *l, uint64_t now, const char *name)
{
	uint64_t *last_seen = g_hash_table_lookup(l->last_seen, name);

	if (last_seen != NULL)
		*last_seen = now;
	else
		g_hash_table_insert(
		    l->last_seen, g_strdup(name), g_memdup2(&now, sizeof(now)));
}

void
jh_liveness_forget(struct jh_liveness *l, const char *name)
{
	g_hash_table_remove(l->last_seen, name);
}

static uint64_t
hash_name(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

size_t
jh_liveness_rank(const struct jh_liveness *l, uint64_t now, const char *self)
{
	uint64_t own = hash_name(self);
	gpointer name, last_seen;
	GHashTableIter it;
	size_t before = 0;

	g_hash_table_iter_init(&it, l->last_seen);
	while (g_hash_table_iter_next(&it, &name, &last_seen)) {
		if (now - *(uint64_t *)last_seen < JH_LIVENESS_RECENT_USEC &&
		    hash_name(name) < own)
			before++;
	}
	return before;
}

const char *
jh_liveness_next_dead(struct jh_liveness *l, uint64_t now)
{
	GHashTableIter it;
	gpointer name, last_seen;

	if (now < l->next_removal)
		return NULL;
	g_hash_table_iter_init(&it, l->last_seen);
	while (g_hash_table_iter_next(&it, &name, &last_seen)) {
		if (now - *(uint64_t *)last_seen < JH_LIVENESS_TIMEOUT_USEC)
			continue;
		l->next_removal = now + JH_LIVENESS_REMOVAL_INTERVAL_USEC;
		return name;
	}
	return NULL;
}
