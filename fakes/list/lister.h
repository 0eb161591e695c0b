#ifndef FAKE_LIST_LISTER_H
#define FAKE_LIST_LISTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>

/*
 * A stand-in of the platform's instance list; see docs/membership.md. Changes
 * become visible after a lag.
 */
struct fake_list;

struct fake_list_options {
	struct sockaddr_in listen;
	uint64_t lag_usec;
};

struct fake_list *fake_list_create(
    const struct fake_list_options *options, GError **err);
void fake_list_destroy(struct fake_list *l);
unsigned int fake_list_port(const struct fake_list *l);

/*
 * Applies {"add": [instances], "leaving": [ids], "remove": [ids]}; returns
 * false, with nothing changed, if it is malformed. Without lag it is visible
 * at once.
 */
bool fake_list_control(struct fake_list *l, const json_t *o, bool lag);

#endif
