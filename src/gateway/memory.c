#include <jansson.h>

#include <jacinthhill/clock.h>

#include "gateway/exchange.h"

/* Retry delay for clients; other routers may have room at once. */
#define EVICTED_RETRY_SECONDS 0.5

static const char reason[] = "the memory budget is used up";

void
exchange_evict(struct exchange *x)
{
	bool ran = x->attempts.may_have_run || x->evicted ||
		   (x->call != NULL && jh_call_was_sent(x->call));

	exchange_cancel_attempt(x);
	jh_server_request_close_after(x->conn_request);
	if (ran || x->response_begun)
		exchange_break_stream(x, reason);
	else
		exchange_refuse(x, reason, EVICTED_RETRY_SECONDS);
}

bool
exchange_enforce_budget(struct exchange *x)
{
	struct jh_memory_budget *b = jh_memory_account_budget(x->account);

	if (jh_memory_budget_enforce(b, jh_now(), x->account))
		return true;
	x->evicted = true;
	return false;
}

void
jh_gateway_evicted(void *arg, const struct jh_memory_eviction *eviction)
{
	struct jh_gateway *gw = arg;
	char name[64];

	g_snprintf(name, sizeof(name), "jh_memory_evicted{what=\"%s\"}",
	    eviction->what);
	jh_metrics_add(gw->metrics, name, 1);
	jh_json_log(gw->log, "memory_evicted", "s:s, s:I, s:I", "what",
	    eviction->what, "held", (json_int_t)eviction->held, "idle_us",
	    (json_int_t)eviction->idle_usec);
}
