#ifndef ENTRY_CALLER_H
#define ENTRY_CALLER_H

#include "entry/entry.h"
#include "entry/reply.h"

/* Who asks, and the catalogue entry that the request is judged against. */
struct caller {
	struct jh_org *org;
	struct jh_catalog_entry *rule;
	enum jh_rank rank;
};

/*
 * Authenticates the request and finds its catalogue entry; default_class is
 * used without an X-Class header. Replies with an error and returns false
 * when the request may not go on.
 */
bool caller_identify(struct entry *e, struct jh_http_req *req,
    const char *default_class, enum jh_entry_kind kind, struct caller *out);
/*
 * Finds the catalogue entry again after an edit. Returns false, with the
 * error, when the organisation or class is no longer allowed.
 */
bool caller_refresh(struct entry *e, struct caller *c, enum entry_error *why);
void caller_clear(struct caller *c);

const char *caller_rank_name(enum jh_rank rank);

#endif
