#include <jansson.h>

#include <jacinthhill/clock.h>

#include "gateway/exchange.h"

static void
log_notice(const struct exchange *x, const struct jh_worker *w,
    const char *event, const char *metric)
{
	uint64_t now = jh_now();

	jh_metrics_add(x->gateway->metrics, metric, 1);
	jh_json_log(x->gateway->log, event, "s:s, s:s#, s:I", "worker", w->id,
	    "request", x->request.id.ptr, (int)x->request.id.len, "for_us",
	    (json_int_t)(jh_worker_accepts_at(w, now) - now));
}

void
exchange_observe_notices(struct exchange *x)
{
	const struct jh_worker_response *r = &x->response;
	struct jh_worker *w = exchange_worker(x);
	uint64_t now = jh_now();
	bool refusing;

	if (w == NULL || x->other_instance ||
	    w->started_ms != x->worker_started_ms)
		return;
	if (r->leaving && jh_fleet_announced_leaving(x->gateway->fleet, w))
		log_notice(x, w, "worker_leaving", "jh_workers_leaving");
	if (r->invalid_refusal)
		jh_json_log(x->gateway->log, "retry_after_invalid", "s:s",
		    "worker", w->id);
	refusing = w->refused_until != 0;
	if (r->has_refusal) {
		jh_worker_refused(w, now, r->refusal);
		if (!refusing)
			log_notice(
			    x, w, "worker_refuses", "jh_workers_refusing");
	} else if (refusing && x->status == 200 && r->sealed) {
		jh_worker_accepted(w, x->sent_at);
		if (w->refused_until == 0)
			log_notice(
			    x, w, "worker_accepts", "jh_workers_accepting");
	}
}
