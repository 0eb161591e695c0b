#ifndef CATALOG_INTERNAL_H
#define CATALOG_INTERNAL_H

#include <pthread.h>

#include <jacinthhill/catalog.h>

/* One object of the catalogue, or the tombstone of a deleted one. */
struct catalog_object {
	char *key;
	uint64_t version;
	char *json; /* NULL: deleted */
	size_t json_len;
	enum jh_record_kind kind;
	/* The parsed record, by kind; all NULL if the JSON is not valid. */
	struct jh_catalog_entry *entry;
	struct jh_org *org;
	struct jh_model *model;
};

struct jh_catalog {
	pthread_rwlock_t lock; /* guards all below */
	GHashTable *by_key; /* owns its struct catalog_object */
	GTree *by_version; /* the objects of by_key */
	GHashTable *orgs_by_hash; /* hash of an API key to its object */
	GHashTable *models_by_name; /* name or alias to its object */
	uint64_t revision; /* the copy is complete up to here */
	/* Tombstones of all deletions after this revision are still kept. */
	uint64_t deletions_after;
	struct jh_catalog_stats stats;
};

/*
 * Sets and parses the value of an object; json NULL makes it a tombstone. The
 * caller holds the write lock.
 */
void catalog_object_set(struct catalog_object *s, const char *json);
void catalog_object_free(struct catalog_object *s);
/* Estimates the memory that the object takes, in bytes. */
size_t catalog_object_size(const struct catalog_object *s);
/* Whether the JSON does not parse as a record of its kind and key. */
bool catalog_object_is_invalid(const struct catalog_object *s);

/*
 * Replaces the content by a complete copy as of a revision, if that revision is
 * newer. The copy has the tombstones of all deletions after deletions_after.
 */
void catalog_install_snapshot(struct jh_catalog *c,
    const struct jh_catalog_item *items, size_t n, uint64_t revision,
    uint64_t deletions_after);

/* Maintain the indexes by API key hash, model name and alias. */
void catalog_index_add(struct jh_catalog *c, struct catalog_object *s);
void catalog_index_remove(struct jh_catalog *c, struct catalog_object *s);

#endif
