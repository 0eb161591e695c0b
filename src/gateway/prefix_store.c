#include <jansson.h>
#include <string.h>

#include <xxhash.h>

#include "gateway/exchange.h"

/* Prefill rate of the fastest engines: a fetch saves at least that time. */
#define PREFILL_TOKENS_PER_MSEC 92

void
jh_gateway_update_prefix_stores(struct jh_gateway *gw)
{
	const struct jh_service *service[JH_PREFIX_MAX_STORES + 1];
	struct jh_prefix_store store[JH_PREFIX_MAX_STORES];
	size_t n, i;

	n = jh_route_table_cache_stores(
	    gw->routes, service, G_N_ELEMENTS(service));
	/* One store is used in the way of the setting "first". */
	if (!gw->all_prefix_stores || n < 2)
		n = 0;
	if (n > JH_PREFIX_MAX_STORES) {
		n = JH_PREFIX_MAX_STORES;
		jh_json_log(gw->log, "prefix_stores_ignored", "s:s", "first",
		    service[n]->name);
	}
	for (i = 0; i < n; i++)
		store[i] = (struct jh_prefix_store){
		    .hash =
			XXH3_64bits(service[i]->name, strlen(service[i]->name)),
		    .name = service[i]->name,
		    .zone = service[i]->zone,
		    .address = service[i]->cache_store,
		    .link_mbps = service[i]->link_mbps,
		    .room = service[i]->cache_tokens,
		};
	jh_prefix_stores_configure(jh_chooser_stores(gw->chooser), store, n);
}

void
exchange_count_prefix(struct exchange *x, const struct jh_choice *choice)
{
	const struct jh_prefix_plan *plan = &choice->stores;
	struct jh_metrics *m = x->gateway->metrics;

	/* A worker that has all does not use the source. */
	x->fetch_store =
	    plan->fetch != NULL && choice->uncached > 0 ? plan->fetch->hash : 0;
	x->fetch_tokens = choice->from_stores;
	if (x->choose.n_prefixes == 0)
		return;
	if (choice->source != NULL)
		jh_metrics_add(m, "jh_prefix_fetches{source=\"worker\"}", 1);
	else if (choice->from_store || plan->fetch != NULL)
		jh_metrics_add(m, "jh_prefix_fetches{source=\"store\"}", 1);
	else
		jh_metrics_add(m, "jh_prefix_fetches{source=\"none\"}", 1);
	if (choice->save || plan->save != NULL)
		jh_metrics_add(m, "jh_prefix_saves", 1);
	if (choice->source != NULL)
		jh_metrics_add(m, "jh_prefix_bytes{what=\"worker\"}",
		    (double)(x->choose.token_bytes * choice->uncached));
	if (plan->fetch != NULL)
		jh_metrics_add(m, "jh_prefix_bytes{what=\"store\"}",
		    (double)plan->fetch_bytes);
	if (plan->save != NULL)
		jh_metrics_add(m, "jh_prefix_bytes{what=\"save\"}",
		    (double)plan->save_bytes);
}

void
exchange_check_prefix_store(struct exchange *x, uint64_t now)
{
	struct jh_prefix_stores *stores =
	    jh_chooser_stores(x->gateway->chooser);
	const struct jh_choose_request *r = &x->choose;
	int64_t late = (int64_t)(now - x->sent_at) - (int64_t)x->expected_ttft;
	const struct jh_prefix_store *store;
	enum jh_prefix_verdict verdict;

	/* Prompts without a large prefix wait less than those with one. */
	if (r->n_prefixes == 0 ||
	    r->prefix[r->n_prefixes - 1].tokens < JH_PREFIX_MIN_TOKENS)
		return;
	verdict = jh_prefix_stores_first_event(stores, now, x->fetch_store,
	    late, x->fetch_tokens * 1000 / PREFILL_TOKENS_PER_MSEC);
	if (verdict == JH_PREFIX_NO_CHANGE)
		return;
	store = jh_prefix_stores_find(stores, x->fetch_store);
	jh_metrics_add(x->gateway->metrics,
	    verdict == JH_PREFIX_STORE_AVOIDED ? "jh_prefix_stores_avoided"
					       : "jh_prefix_stores_empty",
	    1);
	if (verdict == JH_PREFIX_STORE_AVOIDED)
		jh_json_log(x->gateway->log, "prefix_store_avoided", "s:s, s:I",
		    "store", store->name, "late_us", (json_int_t)late);
	else
		jh_json_log(x->gateway->log, "prefix_store_empty", "s:s, s:I",
		    "store", store->name, "late_us", (json_int_t)late);
}
