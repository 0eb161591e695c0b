#ifndef FEED_INSTANCES_H
#define FEED_INSTANCES_H

#include <glib.h>

#include <jacinthhill/members.h>

#include "http/client.h"

/*
 * Polls the platform's instance list; one read runs at a time. If the list
 * server sends an ETag, reads are conditional and an unchanged list is not sent
 * again (RFC 9110, status 304).
 */
struct jh_instances;

struct jh_instances_ops {
	/*
	 * A whole list of n instances has arrived, valid during the call. Runs
	 * on the HTTP client's thread.
	 */
	void (*list)(
	    void *arg, const struct jh_instance *const *list, size_t n);
	/* The list has not changed. May be NULL. */
	void (*unchanged)(void *arg);
};

struct jh_instances *jh_instances_create(struct jh_http_client *client,
    const struct sockaddr_in *list, const struct jh_instances_ops *ops,
    void *arg);
/* The HTTP client must have been destroyed before. */
void jh_instances_destroy(struct jh_instances *n);

/*
 * Lets the poll interval grow from the default of 0.5 s to this many
 * microseconds. The seed spreads the reads of daemons that start together.
 */
void jh_instances_set_max_interval(
    struct jh_instances *n, uint64_t max_interval, guint32 seed);
/*
 * Makes a read due now and resets the poll interval to the default. Call it
 * from the thread of jh_instances_tick().
 */
void jh_instances_read_now(struct jh_instances *n);

/* Starts a read if one is due; call it from one thread. */
void jh_instances_tick(struct jh_instances *n);

#endif
