#include <glib.h>

#include "route/kind_costs.h"

/* Weight of one request in the moving average. */
#define COST_WEIGHT 0.05

/* More kinds than configurations have; routes that were removed are dropped. */
#define MAX_KINDS 4096

struct jh_kind_costs {
	GHashTable *means; /* by kind; double */
};

struct jh_kind_costs *
jh_kind_costs_create(void)
{
	struct jh_kind_costs *k = g_new0(struct jh_kind_costs, 1);

	k->means =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return k;
}

void
jh_kind_costs_destroy(struct jh_kind_costs *k)
{
	if (k == NULL)
		return;
	g_hash_table_destroy(k->means);
	g_free(k);
}

double
jh_kind_costs_add(struct jh_kind_costs *k, const char *kind, double cost)
{
	double *mean = g_hash_table_lookup(k->means, kind);

	if (mean == NULL) {
		if (g_hash_table_size(k->means) >= MAX_KINDS)
			g_hash_table_remove_all(k->means);
		mean = g_new(double, 1);
		*mean = cost;
		g_hash_table_insert(k->means, g_strdup(kind), mean);
	}
	*mean += COST_WEIGHT * (cost - *mean);
	return *mean;
}
