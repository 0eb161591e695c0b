#include <glib.h>

#include "member/absent.h"

struct jh_absent {
	GHashTable *heard; /* name to uint64_t */
	uint64_t next; /* no removal before */
};

struct jh_absent *
jh_absent_create(void)
{
	struct jh_absent *a = g_new0(struct jh_absent, 1);

	a->heard =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return a;
}

void
jh_absent_destroy(struct jh_absent *a)
{
	if (a == NULL)
		return;
	g_hash_table_destroy(a->heard);
	g_free(a);
}

void
jh_absent_heard(struct jh_absent *a, uint64_t now, const char *name)
{
	uint64_t *at = g_hash_table_lookup(a->heard, name);

	if (at != NULL)
		*at = now;
	else
		g_hash_table_insert(
		    a->heard, g_strdup(name), g_memdup2(&now, sizeof(now)));
}

void
jh_absent_forget(struct jh_absent *a, const char *name)
{
	g_hash_table_remove(a->heard, name);
}

const char *
jh_absent_next(struct jh_absent *a, uint64_t now)
{
	GHashTableIter it;
	gpointer name, at;

	if (now < a->next)
		return NULL;
	g_hash_table_iter_init(&it, a->heard);
	while (g_hash_table_iter_next(&it, &name, &at)) {
		if (now - *(uint64_t *)at < JH_ABSENT_USEC)
			continue;
		a->next = now + JH_ABSENT_PAUSE_USEC;
		return name;
	}
	return NULL;
}
