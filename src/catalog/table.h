#ifndef CATALOG_TABLE_H
#define CATALOG_TABLE_H

#include <pthread.h>

#include <jacinthhill/catalog.h>

/* What is known of one key. */
struct catalog_slot {
	char *key;
	uint64_t version;
	char *json; /* NULL: deleted */
	size_t json_len;
	enum jh_record_kind kind;
	/* The parsed record of this kind; all NULL when it does not parse. */
	struct jh_catalog_entry *entry;
	struct jh_org *org;
	struct jh_model *model;
};

struct jh_catalog {
	pthread_rwlock_t lock; /* guards all below */
	GHashTable *by_key; /* owns struct catalog_slot */
	GTree *by_version; /* slots of by_key */
	GHashTable *orgs_by_hash; /* API key hash to a slot with an org */
	GHashTable *models_by_name; /* name or alias to a slot with a model */
	uint64_t revision;
	/* Deletions are known from here on; older ones are forgotten. */
	uint64_t floor;
	struct jh_catalog_stats stats;
};

/* Slots; the caller holds the write lock. */
void catalog_slot_fill(struct catalog_slot *s, const char *json);
void catalog_slot_free(struct catalog_slot *s);
size_t catalog_slot_bytes(const struct catalog_slot *s);
bool catalog_slot_is_invalid(const struct catalog_slot *s);

/*
 * Takes over a complete copy as of a revision, with all deletions after floor.
 */
void catalog_take_copy(struct jh_catalog *c,
    const struct jh_catalog_item *items, size_t n, uint64_t revision,
    uint64_t floor);

/* Keeps the lookups by hash, name and alias. */
void catalog_index_add(struct jh_catalog *c, struct catalog_slot *s);
void catalog_index_remove(struct jh_catalog *c, struct catalog_slot *s);

#endif
