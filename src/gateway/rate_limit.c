#include <jansson.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "gateway/exchange.h"
#include "route/admit.h"

static void
log_change(struct exchange *x, const struct jh_worker *w, double before)
{
	struct jh_gateway *gw = x->gateway;
	double limit = jh_rate_limits_limit(gw->rate_limits, w->hash);

	if (limit == before)
		return;
	jh_json_log(gw->log, "rate_limit", "s:s, s:f, s:f, s:f", "worker",
	    w->id, "limit", limit, "before", before, "share",
	    jh_rate_limits_share(gw->rate_limits, w->hash));
}

void
exchange_observe_rate_limit(struct exchange *x)
{
	const struct jh_worker_response *r = &x->response;
	struct jh_rate_limits *limits = x->gateway->rate_limits;
	struct jh_worker *w = exchange_worker(x);
	uint64_t started = x->worker_started_ms;
	double before;

	if (w == NULL || x->other_instance)
		return;
	if (r->invalid_rate_limit)
		jh_json_log(x->gateway->log, "rate_limit_invalid", "s:s#, s:s",
		    "request", x->request.id.ptr, (int)x->request.id.len,
		    "worker", w->id);
	before = jh_rate_limits_limit(limits, w->hash);
	/* Without the seal, the response may not be the worker's own. */
	if (r->has_rate_limit)
		jh_rate_limits_named(
		    limits, jh_now(), w->hash, started, r->rate_limit);
	else if (r->sealed && !r->invalid_rate_limit)
		jh_rate_limits_not_named(
		    limits, jh_now(), x->sent_at, w->hash, started);
	log_change(x, w, before);
}

void
exchange_refuse_limited(struct exchange *x, uint64_t now, uint64_t room_at)
{
	double wait = (double)(room_at - now) / (double)JH_USEC_PER_SEC;
	double seconds = jh_admit_spread_retry(
	    wait, XXH3_64bits(x->request.id.ptr, x->request.id.len));

	jh_metrics_add(x->gateway->metrics, "jh_rate_limited", 1);
	jh_json_log(x->gateway->log, "rate_limited", "s:s#, s:s, s:f",
	    "request", x->request.id.ptr, (int)x->request.id.len, "route",
	    x->route->name, "retry_after_s", seconds);
	exchange_give_up(
	    x, "the rate limits of the workers are used up", seconds);
}
