#ifndef FAKE_STORE_TABLE_H
#define FAKE_STORE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One key with its last change. */
struct fake_object {
	char *key;
	char *value; /* NULL when deleted */
	size_t len;
	uint64_t version;
};

/* Objects by key, and the log of their changes. Not thread safe. */
struct fake_table;

/* Remembers at most history changes for watches. */
struct fake_table *fake_table_create(unsigned int history);
void fake_table_destroy(struct fake_table *t);

uint64_t fake_table_revision(const struct fake_table *t);
/* NULL when the key does not exist or is deleted. */
const struct fake_object *fake_table_get(struct fake_table *t, const char *key);
/* Returns the version; deleting (value NULL) an absent key changes nothing. */
uint64_t fake_table_set(
    struct fake_table *t, const char *key, const char *value, size_t len);

/* Returning false ends the walk. */
struct fake_walk {
	bool (*object)(void *arg, const struct fake_object *o);
	void *arg;
};

/* Existing objects in key order, from the first key above after. */
void fake_table_list(
    struct fake_table *t, const char *after, const struct fake_walk *w);
/*
 * The last change of each key changed above revision from, oldest first.
 * Returns false when the log does not reach back that far.
 */
bool fake_table_changes(
    struct fake_table *t, uint64_t from, const struct fake_walk *w);

#endif
