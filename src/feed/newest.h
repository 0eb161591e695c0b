#ifndef FEED_NEWEST_H
#define FEED_NEWEST_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "member/position.h"

/*
 * The newest content known of the objects of one kind whose content has an
 * order of its own. The store may come back from an older copy; what was known
 * before does not go back with it. One rule decides for all kinds: an object is
 * taken unless its content is older than the newest known, and also then if the
 * store wrote it later in the same era. Does no I/O; not thread safe.
 */
struct jh_newest;

/* Order of an object's content: by start, then by version. */
struct jh_content_order {
	uint64_t start; /* of the instance that it describes; 0: it has none */
	uint64_t version; /* 0: nothing in it has to be told to others */
};

bool jh_content_is_before(
    const struct jh_content_order *a, const struct jh_content_order *b);

/* Content of an object that the store has removed is kept for this long. */
#define JH_NEWEST_REMOVED_USEC 60000000ULL

struct jh_newest *jh_newest_create(void);
void jh_newest_destroy(struct jh_newest *n);

/*
 * Returns whether the object is to be taken, and keeps its content then. at:
 * its position in the store; revision 0: it comes from a peer. text: of the
 * object, as the store encodes it; a reference is kept.
 */
bool jh_newest_offer(struct jh_newest *n, const char *name,
    const struct jh_content_order *order, const struct jh_position *at,
    GBytes *text);
/* The store has removed the object. now: microseconds of a monotonic clock. */
void jh_newest_remove(struct jh_newest *n, const char *name, uint64_t now);

/* Whether content of this order is newer than what is known. */
bool jh_newest_lacks(const struct jh_newest *n, const char *name,
    const struct jh_content_order *order);
/* Text of the newest content of an object; NULL: none, or version 0. */
GBytes *jh_newest_text(const struct jh_newest *n, const char *name);
/* A hash of the orders of all objects with a version. */
uint64_t jh_newest_digest(const struct jh_newest *n);
/* Calls fn for each object with a version. */
void jh_newest_each(const struct jh_newest *n,
    void (*fn)(
	void *arg, const char *name, const struct jh_content_order *order),
    void *arg);

#endif
