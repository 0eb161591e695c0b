#include <jansson.h>

#include <jacinthhill/clock.h>

#include "gateway/quota.h"

/*
 * Part of the tolerated tokens that is added to a burst: organisations below
 * their quota send large requests that the burst alone would refuse. The rest
 * covers the last request that is admitted, which may exceed the level.
 */
#define BURST_SLACK_PART 0.25

void
jh_gateway_update_quotas(struct jh_gateway *gw)
{
	uint64_t now = jh_now();
	size_t i;

	jh_quota_ledger_begin_update(gw->quotas);
	for (i = 0; i < jh_route_table_org_count(gw->routes); i++) {
		const struct jh_route_org *org =
		    jh_route_table_org_at(gw->routes, i);
		struct jh_quota_rate bucket = {
		    org->quota_per_second, org->quota_burst};
		if (!jh_route_org_has_quota(org))
			continue;
		if (org->quota_in_tokens)
			bucket.burst += gw->quota_slack * BURST_SLACK_PART;
		jh_quota_ledger_set(gw->quotas, now, org->hash, &bucket);
	}
	jh_quota_ledger_end_update(gw->quotas);
	jh_metrics_set(gw->metrics, "jh_quotas",
	    (double)jh_quota_ledger_count(gw->quotas));
}

static double
cost_of(const struct jh_route_org *org, const struct jh_client_request *request)
{
	if (!org->quota_in_tokens)
		return 1;
	if (!request->has_token_counts)
		return org->uncounted_tokens;
	return (double)request->prompt_tokens + (double)request->output_tokens;
}

uint64_t
jh_gateway_admit_quota(struct jh_gateway *gw, const struct jh_route_org *org,
    const struct jh_route *route, const struct jh_client_request *request,
    double *cost)
{
	struct jh_quota_request r;
	uint64_t now = jh_now(), wait;

	*cost = 0;
	if (org == NULL || !jh_route_org_has_quota(org))
		return 0;
	*cost = r.cost = cost_of(org, request);
	r.kind_cost = jh_kind_costs_add(gw->kind_costs, route->name, r.cost);
	wait = jh_quota_ledger_admit(gw->quotas, now, org->hash, &r);
	if (wait == 0)
		return 0;
	jh_metrics_add(gw->metrics, "jh_quota_refused", 1);
	jh_json_log(gw->log, "quota_exceeded",
	    "s:s#, s:s, s:f, s:f, s:f, s:f, s:f", "request",
	    request->id.ptr != NULL ? request->id.ptr : "",
	    (int)request->id.len, "org", org->name, "cost", *cost, "level",
	    jh_quota_ledger_level(gw->quotas, now, org->hash), "per_second",
	    org->quota_per_second, "demand",
	    jh_quota_ledger_demand(gw->quotas, now, org->hash), "retry_after_s",
	    (double)wait / JH_USEC_PER_SEC);
	return wait;
}

void
jh_gateway_refund_quota(
    struct jh_gateway *gw, const struct jh_route_org *org, double cost)
{
	if (cost > 0)
		jh_quota_ledger_refund(gw->quotas, jh_now(), org->hash, cost);
}
