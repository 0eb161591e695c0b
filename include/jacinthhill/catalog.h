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
 * A daemon's copy of the catalogue, by object key. It only moves forward: a
 * lower version of a key never replaces a higher one, and a deleted key stays
 * deleted until a higher version. Safe from any thread; readers share a lock.
 */
struct jh_catalog;

/* Deletions remembered for peers that pull. */
#define JH_CATALOG_TOMBSTONES 16384

/* One object as the store or a peer states it. */
struct jh_catalog_item {
	const char *key;
	uint64_t version;
	const char *json; /* NULL: deleted */
};

struct jh_catalog_stats {
	size_t entries;
	size_t orgs;
	size_t models;
	size_t tombstones;
	size_t invalid; /* objects that do not parse and are not in force */
	size_t bytes; /* estimate of the memory in use */
};

struct jh_catalog *jh_catalog_create(void);
void jh_catalog_destroy(struct jh_catalog *c);

/*
 * Takes one object over if its version is higher than what is known of its
 * key. Returns whether anything changed. An object that does not parse takes
 * the place of its older version but is not in force.
 */
bool jh_catalog_merge(
    struct jh_catalog *c, const char *key, uint64_t version, const char *json);
/*
 * All changes up to this revision have been merged. Call it after merging the
 * whole of a watch reply, or of a delta asked for with jh_catalog_revision().
 */
void jh_catalog_advance(struct jh_catalog *c, uint64_t revision);
/*
 * Takes over a complete list as of a revision: all pages with the revision of
 * the first page. Keys that are not in it and not newer are dropped.
 */
void jh_catalog_replace(struct jh_catalog *c,
    const struct jh_catalog_item *items, size_t n, uint64_t revision);

/* The highest revision up to which the copy is complete; 0: none yet. */
uint64_t jh_catalog_revision(struct jh_catalog *c);

/* Lookups return a reference of the caller's, or NULL. */
struct jh_catalog_entry *jh_catalog_find(
    struct jh_catalog *c, const char *org, const char *class_name);
struct jh_org *jh_catalog_find_org(struct jh_catalog *c, const char *name);
/* When two organisations list one key, the first by name has it. */
struct jh_org *jh_catalog_find_org_by_key(
    struct jh_catalog *c, const char *key_hash);
/* By name, or else by alias. */
struct jh_model *jh_catalog_find_model(struct jh_catalog *c, const char *name);

/* What a peer that has everything up to a revision lacks. */
struct jh_catalog_delta {
	uint64_t revision; /* complete up to here once applied */
	bool full; /* all objects; what is absent does not exist */
	/*
	 * Full: the items hold all deletions after this revision. 0 is taken
	 * for "none are known".
	 */
	uint64_t floor;
	struct jh_catalog_item *items;
	size_t n;
};

/*
 * Fills a delta of at most max_bytes of keys and JSON; a longer one is cut and
 * the peer asks again. A peer behind the remembered deletions gets a full
 * copy. Returns false, with nothing to clear, when this copy is older than the
 * peer's or a full copy is over max_bytes.
 */
bool jh_catalog_delta(struct jh_catalog *c, uint64_t revision, size_t max_bytes,
    struct jh_catalog_delta *out);
void jh_catalog_delta_clear(struct jh_catalog_delta *d);
/*
 * Applies a peer's delta that was asked for with asked_revision. Returns
 * whether the copy's revision rose.
 */
bool jh_catalog_apply(struct jh_catalog *c, uint64_t asked_revision,
    const struct jh_catalog_delta *d);

void jh_catalog_stats(struct jh_catalog *c, struct jh_catalog_stats *out);

/*
 * Calls fn for every object that exists, in no order, under the read lock; fn
 * must not call the catalogue.
 */
void jh_catalog_each(struct jh_catalog *c,
    void (*fn)(void *arg, const struct jh_catalog_item *item), void *arg);

#endif
