#ifndef FAKES_PLATFORM_OBJECTS_H
#define FAKES_PLATFORM_OBJECTS_H

#include <stdint.h>

#include <jansson.h>
#include <uv.h>

/*
 * Stand-in of the platform's object store, on a libuv loop: lists, watches and
 * conditional writes. All functions may be called from any thread.
 */
struct fake_objects;

enum fake_objects_mode {
	OBJECTS_SERVE,
	OBJECTS_REFUSE, /* answers every call with a status, does nothing */
	OBJECTS_SILENT, /* does nothing and never answers */
	OBJECTS_LOSE_ANSWERS /* does what is asked, then breaks the connection
			      */
};

struct fake_objects *fake_objects_create(uv_loop_t *loop, unsigned int port);
/* After the loop has stopped. */
void fake_objects_destroy(struct fake_objects *o);

/*
 * The lock of everything behind the store; recursive, so that other stand-ins
 * on the same loop share it.
 */
void fake_objects_lock(struct fake_objects *o);
void fake_objects_unlock(struct fake_objects *o);

/* status: of OBJECTS_REFUSE. */
void fake_objects_set_mode(
    struct fake_objects *o, enum fake_objects_mode mode, unsigned int status);
/* Drops the history: watches from before get 410. */
void fake_objects_forget(struct fake_objects *o);

/* Writes without a condition; returns the revision. spec is borrowed. */
uint64_t fake_objects_put(
    struct fake_objects *o, const char *kind, const char *name, json_t *spec);
void fake_objects_remove(
    struct fake_objects *o, const char *kind, const char *name);
/* A new reference, or NULL. */
json_t *fake_objects_get(
    struct fake_objects *o, const char *kind, const char *name);

#endif
