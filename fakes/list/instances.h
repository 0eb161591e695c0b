#ifndef FAKE_LIST_INSTANCES_H
#define FAKE_LIST_INSTANCES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

/*
 * Fake of the platform's instance list; see docs/membership.md. Changes become
 * visible after a lag.
 */
struct fake_list;

struct fake_list_options {
	struct sockaddr_in listen;
	uint64_t lag_usec; /* from a change until it is visible */
};

/* Starts the server; returns NULL with *err set on failure. */
struct fake_list *fake_list_create(
    const struct fake_list_options *options, GError **err);
void fake_list_destroy(struct fake_list *l);
unsigned int fake_list_port(const struct fake_list *l);

/*
 * Applies {"add": [instances], "leaving": [ids], "remove": [ids]}. Returns
 * false and changes nothing if it is malformed. Without lag the change is
 * visible immediately.
 */
bool fake_list_control(struct fake_list *l, const json_t *o, bool lag);

#endif
