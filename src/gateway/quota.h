#ifndef GATEWAY_QUOTA_H
#define GATEWAY_QUOTA_H

#include "gateway/gateway.h"

/* Quotas of organisations: the ledger's side of the gateway. */

/* Takes over the quotas of the route table in force. */
void jh_gateway_update_quotas(struct jh_gateway *gw);

/*
 * Admits the request and returns 0, or returns the time until one can be
 * admitted, microseconds. *cost is what jh_gateway_refund_quota() gives back; 0
 * without a quota.
 */
uint64_t jh_gateway_admit_quota(struct jh_gateway *gw,
    const struct jh_route_org *org, const struct jh_route *route,
    const struct jh_client_request *request, double *cost);
/* The request has not run and will not run. */
void jh_gateway_refund_quota(
    struct jh_gateway *gw, const struct jh_route_org *org, double cost);

#endif
