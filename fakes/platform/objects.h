#ifndef FAKES_PLATFORM_OBJECTS_H
#define FAKES_PLATFORM_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

/*
 * Fake of the platform's object store on a libuv loop: lists, watches and
 * conditional writes. All functions may be called from any thread.
 */
struct fake_objects;

enum fake_objects_mode {
	OBJECTS_SERVE,
	/* responds to every call with a status, without effect */
	OBJECTS_REFUSE,
	OBJECTS_SILENT, /* calls have no effect and get no response */
	OBJECTS_LOSE_RESPONSES /* executes writes, then resets the connection */
};

struct fake_objects *fake_objects_create(uv_loop_t *loop, unsigned int port);
/* Call it after the loop has stopped. */
void fake_objects_destroy(struct fake_objects *o);

/*
 * The lock of all state of the fake platform; recursive, so that other fakes on
 * the same loop share it.
 */
void fake_objects_lock(struct fake_objects *o);
void fake_objects_unlock(struct fake_objects *o);

/* status is used with OBJECTS_REFUSE only. */
void fake_objects_set_mode(
    struct fake_objects *o, enum fake_objects_mode mode, unsigned int status);
/* Drops the history: watches of earlier revisions get 410. */
void fake_objects_drop_history(struct fake_objects *o);

/*
 * A restore of the store from a copy: changes since the copy are gone, their
 * revisions are given out again, and the era rises by one, which all responses
 * name. Times are jh_now() times.
 */
struct fake_restore {
	uint64_t copied_at;
	uint64_t back_at; /* until then no call gets a response */
	/*
	 * Writes that arrive until then are executed after it, if their
	 * condition holds; else they are lost.
	 */
	bool late_writes;
	/*
	 * What fake_objects_put() and fake_objects_remove() changed since the
	 * copy is written again, each object at a random time from back_at on,
	 * unless it is written meanwhile.
	 */
	uint64_t rewritten_by;
	uint32_t seed; /* of those times */
};
void fake_objects_restore(
    struct fake_objects *o, const struct fake_restore *spec);
/* 1 until the first restore. */
uint64_t fake_objects_era(struct fake_objects *o);

/* Writes unconditionally and returns the new revision; spec is borrowed. */
uint64_t fake_objects_put(
    struct fake_objects *o, const char *kind, const char *name, json_t *spec);
void fake_objects_remove(
    struct fake_objects *o, const char *kind, const char *name);
/* Returns a new reference, or NULL if there is no such object. */
json_t *fake_objects_get(
    struct fake_objects *o, const char *kind, const char *name);

#endif
