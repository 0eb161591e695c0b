#ifndef FEED_REPLICA_H
#define FEED_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * A copy of the objects of one kind, with the changes that made it, for others
 * to read in place of the store. Texts are opaque here. Pure.
 */
struct jh_replica;

/* Changes that are kept; who is further behind lists again. */
#define JH_REPLICA_CHANGES 4096

struct jh_replica *jh_replica_create(void);
void jh_replica_destroy(struct jh_replica *r);

/* A change; visible to others with the next jh_replica_reached(). */
void jh_replica_put(struct jh_replica *r, const char *name, struct jh_str text);
void jh_replica_remove(struct jh_replica *r, const char *name);
/* All changes up to the store's revision are in. */
void jh_replica_reached(struct jh_replica *r, uint64_t revision);
/* 0: nothing is known yet. */
uint64_t jh_replica_revision(const struct jh_replica *r);

struct jh_replica_ops {
	/* text.ptr is NULL for a removal. */
	void (*object)(void *arg, const char *name, struct jh_str text);
};

/*
 * Gives the objects after that name, in order of names, limit at most. Returns
 * whether there are more.
 */
bool jh_replica_list(const struct jh_replica *r, const char *after,
    unsigned int limit, const struct jh_replica_ops *ops, void *arg);
/*
 * Gives the changes after the revision, in order. Returns false if they are not
 * kept any more.
 */
bool jh_replica_changes(const struct jh_replica *r, uint64_t since,
    const struct jh_replica_ops *ops, void *arg);

#endif
