#ifndef STREAM_EVENTS_H
#define STREAM_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Cuts a stream of server-sent events into whole events, so that a stream
 * that breaks off inside an event can go on from another worker.
 */
struct jh_events;

struct jh_event_block {
	struct jh_str bytes; /* as they arrived, with the empty line */
	bool has_id;
	uint64_t id;
};

/* Longest event, in bytes; engines send a few hundred. */
#define JH_EVENTS_MAX_LEN 65536

struct jh_events *jh_events_create(void);
void jh_events_destroy(struct jh_events *e);

/*
 * Adds bytes and calls fn for each event that is now whole. Returns false
 * when an event is too long or its id is no number.
 */
bool jh_events_feed(struct jh_events *e, struct jh_str bytes,
    void (*fn)(void *arg, const struct jh_event_block *block), void *arg);
/* Forgets a partial event. */
void jh_events_restart(struct jh_events *e);
/* Whether part of an event has arrived. */
bool jh_events_partial(const struct jh_events *e);
/* The value of the block's first field of that name, or a NULL pointer. */
struct jh_str jh_event_field(
    const struct jh_event_block *block, const char *name);

#endif
