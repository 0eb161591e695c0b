#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include <jacinthhill/suspects.h>

#include "base/metrics.h"
#include "base/json_log.h"
#include "gateway/http_codec.h"
#include "member/weights.h"
#include "net/client.h"
#include "net/loop_lag.h"
#include "net/server.h"
#include "route/retry_budget.h"
#include "route/choose.h"
#include "route/fleet.h"
#include "route/kind_costs.h"
#include "route/overload.h"
#include "route/quota_ledger.h"
#include "route/rate_limits.h"
#include "route/route_table.h"

/*
 * Handles clients' requests: finds the route of each, chooses a worker, admits
 * or rejects the request, forwards it and relays the response. The owner of
 * this struct fills it in and keeps it up to date; everything runs on one loop.
 */
struct jh_gateway {
	uv_loop_t *loop;
	const struct jh_http_codec *codec;
	struct jh_uv_client *client; /* HTTP client for calls to workers */
	struct jh_loop_lag *lag; /* of the loop */
	struct jh_json_log *log;
	struct jh_metrics *metrics;
	struct jh_route_table *routes; /* NULL: no configuration yet */
	struct jh_fleet *fleet;
	struct jh_chooser *chooser;
	struct jh_retry_budget *retry_budget;
	struct jh_rate_limits *rate_limits; /* that workers name */
	struct jh_quota_ledger *quotas; /* of organisations */
	struct jh_kind_costs *kind_costs; /* of requests with a quota */
	double quota_slack; /* tokens above a quota that are tolerated */
	bool all_prefix_stores; /* use all that are configured */
	struct jh_overload *overload;
	/* Not only if organisations have quotas; and refusals, by rank too. */
	bool overload_placement, overload_refusals;
	struct jh_weights *weights;
	struct jh_suspects *suspects; /* parts of requests that crash workers */
	size_t quarantined_parts; /* of these, as last logged */
	unsigned int processes; /* that share workers and retry budget */
	/* Responses that are held until they are complete. */
	size_t held_bytes;
	unsigned int held_bodies;
	/*
	 * jh_now() time at which the process stops; 0: it is not stopping. From
	 * refuse_from on, requests that would not finish by then are refused.
	 */
	uint64_t stop_at;
	uint64_t refuse_from;
	/* May be NULL. A response shows other weights than were known. */
	void (*on_observed_weights)(void *arg, struct jh_worker *worker,
	    const struct jh_worker_model *model);
	void *arg;
};

/* Handles a request to the HTTP server; arg is the gateway. */
void jh_gateway_request(void *arg, struct jh_server_request *v);
/* Takes over the prefix stores of the configuration in force. */
void jh_gateway_update_prefix_stores(struct jh_gateway *gw);
/* Expires suspects, and logs a new number of quarantined parts. */
void jh_gateway_check_suspects(struct jh_gateway *gw, uint64_t now);
/*
 * Refuses requests without a route or a valid key by their head; see
 * jh_uv_server_ops.
 */
void jh_gateway_check_head(
    void *arg, const struct jh_head *head, struct jh_server_rejection *out);
/* Logs and counts an eviction; see jh_memory_observe_fn. */
void jh_gateway_evicted(void *arg, const struct jh_memory_eviction *eviction);
/* Logs and counts a client's connection that the HTTP server closes. */
void jh_gateway_closing(void *arg, const struct jh_server_closing *c);

#endif
