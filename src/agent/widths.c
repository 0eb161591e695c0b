#include <glib.h>

#include <jacinthhill/clock.h>

#include "agent/widths.h"

/* Time after which a width that no entry daemon has sent again expires. */
#define WIDTH_LIFETIME_USEC (5 * JH_USEC_PER_SEC)

/* Capacity of the table; expired entries are removed when it is full. */
#define MAX_PREFIXES 1024

struct width {
	uint64_t prefix;
	uint64_t deadline;
	uint32_t width;
};

struct agent_widths {
	GHashTable *table; /* &prefix -> struct width */
};

struct agent_widths *
agent_widths_create(void)
{
	struct agent_widths *w = g_new0(struct agent_widths, 1);

	w->table =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return w;
}

void
agent_widths_destroy(struct agent_widths *w)
{
	g_hash_table_destroy(w->table);
	g_free(w);
}

static gboolean
has_expired(gpointer key, gpointer value, gpointer arg)
{
	const uint64_t *now = arg;

	return *now >= ((struct width *)value)->deadline;
}

uint32_t
agent_widths_record(
    struct agent_widths *w, uint64_t now, uint64_t prefix, uint32_t width)
{
	struct width *e = g_hash_table_lookup(w->table, &prefix);

	if (e == NULL) {
		/* Nearly all prefixes have width 1, which needs no entry. */
		if (width <= 1)
			return 1;
		if (g_hash_table_size(w->table) >= MAX_PREFIXES)
			g_hash_table_foreach_remove(
			    w->table, has_expired, &now);
		if (g_hash_table_size(w->table) >= MAX_PREFIXES)
			return width;
		e = g_new0(struct width, 1);
		e->prefix = prefix;
		g_hash_table_insert(w->table, &e->prefix, e);
	}
	if (now >= e->deadline || width >= e->width) {
		e->width = width;
		e->deadline = now + WIDTH_LIFETIME_USEC;
	}
	return e->width;
}
