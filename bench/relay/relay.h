#ifndef BENCH_RELAY_RELAY_H
#define BENCH_RELAY_RELAY_H

#include "http/client.h"
#include "http/server.h"

/* State of a jhrelay process. */
struct relay {
	struct jh_http_client *client;
	GArray *engines; /* of struct sockaddr_in */
	guint next; /* atomic */
};

extern const struct jh_http_server_ops relay_server_ops;

#endif
