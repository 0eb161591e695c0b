#ifndef ENTRY_REQUEST_AUTH_H
#define ENTRY_REQUEST_AUTH_H

#include "entry/entry.h"
#include "entry/reply.h"

/* The organisation that sent a request and the catalogue entry that applies. */
struct request_auth {
	struct jh_org *org;
	struct jh_catalog_entry *rule; /* of the organisation and class */
	enum jh_rank rank;
};

/*
 * Authenticates the request and finds its catalogue entry. default_class
 * applies if there is no X-Class header. On failure replies with the error and
 * returns false; clear *out in any case.
 */
bool request_auth_identify(struct entry *e, struct jh_http_req *req,
    const char *default_class, enum jh_entry_kind kind,
    struct request_auth *out);
/*
 * Looks up the catalogue entry again after an edit of the catalogue. Returns
 * false and sets *why if the organisation or class is no longer allowed.
 */
bool request_auth_refresh(
    struct entry *e, struct request_auth *c, enum entry_error *why);
void request_auth_clear(struct request_auth *c);

const char *request_rank_name(enum jh_rank rank);

#endif
