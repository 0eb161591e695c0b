#ifndef FEED_INSTANCES_H
#define FEED_INSTANCES_H

#include <glib.h>

#include <jacinthhill/members.h>

#include "http/client.h"

/*
 * Reads the platform's instance list; one read runs at a time. A list that
 * sends an ETag is asked only for what differs from it (RFC 9110, 304).
 */
struct jh_instances;

struct jh_instances_ops {
	/*
	 * A whole list has arrived: n instances, borrowed. Runs on the HTTP
	 * client's thread.
	 */
	void (*list)(
	    void *arg, const struct jh_instance *const *list, size_t n);
	/* A read found the list as it was. May be NULL. */
	void (*unchanged)(void *arg);
};

struct jh_instances *jh_instances_create(struct jh_http_client *client,
    const struct sockaddr_in *list, const struct jh_instances_ops *ops,
    void *arg);
/* Call it after the HTTP client is destroyed. */
void jh_instances_destroy(struct jh_instances *n);

/*
 * Lets the time between reads grow from the default of 0.5 s to this many
 * microseconds. The seed spreads daemons that start together.
 */
void jh_instances_set_longest(
    struct jh_instances *n, uint64_t longest, guint32 seed);
/* Reads at once, and often for a while; from the ticking thread. */
void jh_instances_read_now(struct jh_instances *n);

/* Starts a read if one is due; call it from one thread. */
void jh_instances_tick(struct jh_instances *n);

#endif
