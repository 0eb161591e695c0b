#include <jansson.h>

#include "gateway/exchange.h"

void
exchange_observe_rate_limit(struct exchange *x)
{
	const struct jh_worker_response *r = &x->response;
	struct jh_worker *w = exchange_worker(x);
	double limit = r->has_rate_limit ? r->rate_limit : 0;

	if (w == NULL || x->other_instance)
		return;
	if (r->invalid_rate_limit)
		jh_json_log(x->gateway->log, "rate_limit_invalid", "s:s#, s:s",
		    "request", x->request.id.ptr, (int)x->request.id.len,
		    "worker", w->id);
	/* Without the seal, the response may not be the worker's own. */
	if ((!r->has_rate_limit && !r->sealed) || limit == w->rate_limit)
		return;
	jh_json_log(x->gateway->log, "rate_limit", "s:s, s:f, s:f", "worker",
	    w->id, "limit", limit, "before", w->rate_limit);
	w->rate_limit = limit;
}
