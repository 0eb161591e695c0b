#ifndef JACINTHHILL_CATALOG_H
#define JACINTHHILL_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/entry.h>
#include <jacinthhill/model.h>
#include <jacinthhill/org.h>
#include <jacinthhill/record.h>

/*
 * A daemon's copy of the catalogue: the objects with their versions, by key. A
 * lower version of a key never replaces a higher one, and a deleted key stays
 * deleted until it has a higher version. Safe from any thread; readers share a
 * lock.
 */
struct jh_catalog;

/* Most tombstones of deleted keys that are kept for peers that pull. */
#define JH_CATALOG_TOMBSTONES 16384

/* One object, or a deletion, as read from the store or a peer. */
struct jh_catalog_item {
	const char *key;
	uint64_t version;
	const char *json; /* NULL: deleted */
};

struct jh_catalog_stats {
	size_t entries;
	size_t orgs;
	size_t models;
	size_t tombstones; /* deleted keys */
	size_t invalid; /* objects that do not parse, and so are not in force */
	size_t bytes; /* estimate of the memory in use */
};

struct jh_catalog *jh_catalog_create(void);
void jh_catalog_destroy(struct jh_catalog *c);

/*
 * Stores an object, or its deletion if json is NULL, if the version is higher
 * than that in the copy. Returns whether anything changed. An object that does
 * not parse replaces its older version, but is not in force.
 */
bool jh_catalog_merge(
    struct jh_catalog *c, const char *key, uint64_t version, const char *json);
/*
 * Records that all changes up to this revision have been merged. Call it after
 * merging all of a watch reply, or of a delta that was requested with
 * jh_catalog_revision().
 */
void jh_catalog_advance(struct jh_catalog *c, uint64_t revision);
/*
 * Replaces the copy by a complete list of the store: all pages, with the
 * revision of the first page. Keys that are not in the list are removed, except
 * those with a version above the revision. A list that is no newer than the
 * copy changes nothing.
 */
void jh_catalog_replace(struct jh_catalog *c,
    const struct jh_catalog_item *items, size_t n, uint64_t revision);

/* The revision up to which the copy is complete; 0: there is no copy yet. */
uint64_t jh_catalog_revision(struct jh_catalog *c);

/* Lookups return a reference that the caller must release, or NULL. */
struct jh_catalog_entry *jh_catalog_find_entry(
    struct jh_catalog *c, const char *org, const char *class_name);
struct jh_org *jh_catalog_find_org(struct jh_catalog *c, const char *name);
/* If several organisations list a key hash, returns the first by name. */
struct jh_org *jh_catalog_find_org_by_key(
    struct jh_catalog *c, const char *key_hash);
/* Finds a model by name, or if there is none, by alias. */
struct jh_model *jh_catalog_find_model(struct jh_catalog *c, const char *name);

/* The changes that a peer needs whose copy is complete up to a revision. */
struct jh_catalog_delta {
	uint64_t revision; /* up to which the peer is complete afterwards */
	bool full; /* all objects; keys that are absent do not exist */
	/*
	 * If full: items has all deletions after this revision. 0 means that
	 * no deletions are known.
	 */
	uint64_t deletions_after;
	struct jh_catalog_item *items;
	size_t n;
};

/*
 * Makes the delta for a peer whose copy is complete up to revision, with at
 * most max_bytes of keys and JSON. A longer one is cut, and the peer has to
 * pull again. The delta is full if tombstones after the peer's revision have
 * been evicted. Returns false, with nothing to clear, if this copy is older
 * than the peer's or a full copy exceeds max_bytes.
 */
bool jh_catalog_delta(struct jh_catalog *c, uint64_t revision, size_t max_bytes,
    struct jh_catalog_delta *out);
void jh_catalog_delta_clear(struct jh_catalog_delta *d);
/*
 * Applies a delta from a peer that was requested with asked_revision. Returns
 * whether the copy's revision has risen.
 */
bool jh_catalog_apply(struct jh_catalog *c, uint64_t asked_revision,
    const struct jh_catalog_delta *d);

void jh_catalog_stats(struct jh_catalog *c, struct jh_catalog_stats *out);

/*
 * Calls fn for each object that is not deleted, in no particular order. The
 * read lock is held, so fn must not call functions of the catalogue.
 */
void jh_catalog_foreach(struct jh_catalog *c,
    void (*fn)(void *arg, const struct jh_catalog_item *item), void *arg);

#endif
