#include <glib.h>

#include <jacinthhill/fence.h>

struct jh_fence {
	GHashTable *highest; /* lease name to uint64_t */
	size_t max_leases;
};

struct jh_fence *
jh_fence_create(size_t max_leases)
{
	struct jh_fence *f = g_new0(struct jh_fence, 1);

	f->highest =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f->max_leases = max_leases;
	return f;
}

void
jh_fence_destroy(struct jh_fence *f)
{
	if (f == NULL)
		return;
	g_hash_table_destroy(f->highest);
	g_free(f);
}

bool
jh_fence_admit(struct jh_fence *f, const char *lease, uint64_t token)
{
	uint64_t *highest = g_hash_table_lookup(f->highest, lease);

	/* Versions in the store start at 1, so that 0 was never a token. */
	if (token == 0)
		return false;
	if (highest == NULL) {
		if (g_hash_table_size(f->highest) >= f->max_leases)
			return false;
		highest = g_new(uint64_t, 1);
		g_hash_table_insert(f->highest, g_strdup(lease), highest);
	} else if (token < *highest) {
		return false;
	}
	*highest = token;
	return true;
}

uint64_t
jh_fence_highest(const struct jh_fence *f, const char *lease)
{
	const uint64_t *highest = g_hash_table_lookup(f->highest, lease);

	return highest == NULL ? 0 : *highest;
}
