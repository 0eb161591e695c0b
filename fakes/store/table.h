#ifndef FAKE_STORE_TABLE_H
#define FAKE_STORE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An object as its last change left it. */
struct fake_object {
	char *key;
	char *value; /* NULL when deleted */
	size_t len;
	uint64_t version;
};

/* The objects by key, with a log of their changes. Not thread-safe. */
struct fake_table;

/* Keeps the last history changes for watches. */
struct fake_table *fake_table_create(unsigned int history);
void fake_table_destroy(struct fake_table *t);

uint64_t fake_table_revision(const struct fake_table *t);
/* NULL if the key does not exist or is deleted. */
const struct fake_object *fake_table_get(struct fake_table *t, const char *key);
/*
 * Sets an object, or deletes it if value is NULL. Returns its new version, or
 * the table's revision if there was nothing to delete.
 */
uint64_t fake_table_set(
    struct fake_table *t, const char *key, const char *value, size_t len);

/* Is called for each object; returns false to end the walk. */
struct fake_walk {
	bool (*object)(void *arg, const struct fake_object *o);
	void *arg;
};

/* Walks the existing objects in key order, from the first key above after. */
void fake_table_list(
    struct fake_table *t, const char *after, const struct fake_walk *w);
/*
 * Walks the last change of each key that changed after revision from, oldest
 * first. Returns false if the log does not reach back that far.
 */
bool fake_table_changes(
    struct fake_table *t, uint64_t from, const struct fake_walk *w);

#endif
