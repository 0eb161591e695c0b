#ifndef FEED_REPLICA_H
#define FEED_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

#include "member/position.h"

/*
 * A copy of the store's objects of one kind, with the latest changes, which
 * other processes read in place of the store. The texts of objects are not
 * parsed. Does no I/O; not thread safe.
 */
struct jh_replica;

/* Number of changes that are kept; an instance further behind lists again. */
#define JH_REPLICA_MAX_CHANGES 4096

struct jh_replica *jh_replica_create(void);
void jh_replica_destroy(struct jh_replica *r);

/* Adds a change, which is visible after the next jh_replica_commit(). */
void jh_replica_put(struct jh_replica *r, const char *name, struct jh_str text);
/* The same; takes a reference to the text. */
void jh_replica_put_bytes(struct jh_replica *r, const char *name, GBytes *text);
void jh_replica_remove(struct jh_replica *r, const char *name);
/*
 * Commits the added changes, which reach up to this position of the store. In a
 * new era they are a complete list, which replaces what was committed before.
 */
void jh_replica_commit(struct jh_replica *r, const struct jh_position *to);
/* The last committed position; its revision is 0 before the first. */
struct jh_position jh_replica_position(const struct jh_replica *r);

struct jh_replica_ops {
	/* text.ptr is NULL for a removal. */
	void (*object)(void *arg, const char *name, struct jh_str text);
};

/* How much is passed at once; one object is always passed. */
struct jh_replica_limit {
	unsigned int objects;
	size_t bytes; /* of their texts */
};

/*
 * Passes objects to ops, in order of their names, from the first one after that
 * name (NULL: from the start). Returns whether there are more.
 */
bool jh_replica_list(const struct jh_replica *r, const char *after,
    const struct jh_replica_limit *limit, const struct jh_replica_ops *ops,
    void *arg);
/*
 * Passes the changes after the position to ops, in order. Returns false, and
 * passes none, if they are not kept any more, are more than the limit, or the
 * position is of another era.
 */
bool jh_replica_changes(const struct jh_replica *r,
    const struct jh_position *since, const struct jh_replica_limit *limit,
    const struct jh_replica_ops *ops, void *arg);

#endif
