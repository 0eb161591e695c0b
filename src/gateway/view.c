#include <jacinthhill/clock.h>

#include "gateway/view.h"

/* Milliseconds since that time, or -1 if it is 0. */
static json_int_t
age_msec(uint64_t now, uint64_t then)
{
	if (then == 0)
		return -1;
	return (json_int_t)(now - then) / (json_int_t)JH_USEC_PER_MSEC;
}

static json_t *
view_models(const struct jh_worker *w, uint64_t now)
{
	json_t *models = json_array();
	size_t i;

	for (i = 0; i < w->models->len; i++) {
		const struct jh_worker_model *m = jh_worker_model_at(w, i);
		json_array_append_new(
		    models, json_pack("{s:s, s:I, s:I}", "name", m->name,
				"weights", (json_int_t)m->weights,
				"weights_age_ms", age_msec(now, m->confirmed)));
	}
	return models;
}

static json_t *
view_worker(const struct jh_gateway *g, const struct jh_worker *w, uint64_t now)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:o, "
			 "s:f, s:i, s:f, s:f}",
	    "id", w->id, "service", w->service, "zone", w->zone, "state",
	    jh_worker_state(w, now), "running", (int)w->running,
	    "others_running", (int)w->others_running, "unread_tokens",
	    (json_int_t)w->prefill_tokens + (json_int_t)w->others_prefill,
	    "held_tokens",
	    (json_int_t)w->held_tokens + (json_int_t)w->others_held, "models",
	    view_models(w, now), "fail_share", w->fail_rate, "failures",
	    (int)w->consecutive_failures, "rate_limit",
	    jh_rate_limits_limit(g->rate_limits, w->hash), "rate_share",
	    jh_rate_limits_share(g->rate_limits, w->hash));
}

/* The organisations with a quota, as this process knows their use. */
static json_t *
view_quotas(const struct jh_gateway *g, uint64_t now)
{
	json_t *quotas = json_array();
	size_t i;

	for (i = 0;
	     g->routes != NULL && i < jh_route_table_org_count(g->routes);
	     i++) {
		const struct jh_route_org *org =
		    jh_route_table_org_at(g->routes, i);
		if (!jh_route_org_has_quota(org))
			continue;
		json_array_append_new(quotas,
		    json_pack("{s:s, s:f, s:f, s:f}", "org", org->name,
			"per_second", org->quota_per_second, "level",
			jh_quota_ledger_level(g->quotas, now, org->hash),
			"demand",
			jh_quota_ledger_demand(g->quotas, now, org->hash)));
	}
	return quotas;
}

json_t *
jh_gateway_view(const struct jh_gateway *g, uint64_t now)
{
	json_t *workers = json_array();
	size_t i;

	for (i = 0; i < jh_fleet_count(g->fleet); i++)
		json_array_append_new(
		    workers, view_worker(g, jh_fleet_at(g->fleet, i), now));
	return json_pack("{s:I, s:i, s:b, s:I, s:o, s:o}", "config_version",
	    g->routes != NULL ? (json_int_t)jh_route_table_version(g->routes)
			      : (json_int_t)-1,
	    "processes", (int)g->processes, "stopping", g->stop_at != 0,
	    "quarantined_parts",
	    (json_int_t)jh_suspects_parts_quarantined(g->suspects, now),
	    "quotas", view_quotas(g, now), "workers", workers);
}
