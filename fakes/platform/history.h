#ifndef FAKES_PLATFORM_HISTORY_H
#define FAKES_PLATFORM_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

/*
 * The objects of the fake store and all changes since its start, so that it can
 * go back to an earlier state. Not thread safe.
 */
struct fake_history;

enum fake_writer {
	FAKE_WRITER_ROUTER,
	FAKE_WRITER_OTHER /* the operator or a worker */
};

/* A change, or an object as its last change left it. */
struct fake_change {
	char *kind, *name;
	uint64_t revision;
	json_t *spec; /* NULL: the object was removed */
	uint64_t at; /* jh_now() time */
	enum fake_writer writer;
};

struct fake_history *fake_history_create(void);
void fake_history_destroy(struct fake_history *h);

/* spec is borrowed; NULL removes the object. */
void fake_history_add(struct fake_history *h, uint64_t now,
    enum fake_writer writer, const char *kind, const char *name, json_t *spec);
uint64_t fake_history_revision(const struct fake_history *h);
/* Returns NULL if there is no such object. */
const struct fake_change *fake_history_object(
    const struct fake_history *h, const char *kind, const char *name);
/* Returns the items of a list of all objects of the kind. */
json_t *fake_history_list(const struct fake_history *h, const char *kind);
/* Returns the events of the kind after the revision. */
json_t *fake_history_events(
    const struct fake_history *h, const char *kind, uint64_t since);
/* Encodes an object. */
json_t *fake_change_encode(const struct fake_change *c);

/* Drops the changes so far, but not the objects, and raises the revision. */
void fake_history_drop(struct fake_history *h);
/* Whether the changes since the revision are known. */
bool fake_history_has(const struct fake_history *h, uint64_t since);

/*
 * Goes back to the state at that time. Returns the last change of each object
 * that FAKE_WRITER_OTHER has changed since, in their order: an array of struct
 * fake_change, to be freed with g_ptr_array_unref().
 */
GPtrArray *fake_history_go_back(struct fake_history *h, uint64_t to);

#endif
