#ifndef STORE_REPLY_H
#define STORE_REPLY_H

#include <jansson.h>

#include "http/client.h"
#include "store/store.h"

enum store_op { STORE_GET, STORE_WRITE, STORE_LIST, STORE_WATCH };

/* A reply and the memory that it points into. */
struct store_parsed {
	struct jh_store_reply reply;
	json_t *json;
	GArray *items; /* of struct jh_store_item, pointing into json */
};

/*
 * Makes the reply of a finished call. p points into body, which the caller
 * owns. Call store_parsed_clear() afterwards.
 */
void store_parse(struct store_parsed *p, enum store_op op,
    enum jh_http_result result, struct jh_http_call *call, const GString *body);
void store_parsed_clear(struct store_parsed *p);

#endif
