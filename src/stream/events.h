#ifndef STREAM_EVENTS_H
#define STREAM_EVENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Parser of server-sent events. It splits a stream into complete events, so
 * that a stream that breaks off inside an event can be resumed from another
 * worker.
 */
struct jh_events;

/* One complete event; its bytes are valid only during the callback. */
struct jh_event_block {
	struct jh_str bytes; /* as received, including the empty line */
	bool has_id;
	uint64_t id; /* value of the id field, if has_id */
};

/* Longest event, in bytes; engines send a few hundred. */
#define JH_EVENTS_MAX_LEN 65536

struct jh_events *jh_events_create(void);
void jh_events_destroy(struct jh_events *e);

/*
 * Parses received bytes and calls fn for each event that is now complete.
 * Returns false if an event is too long or its id is not a number.
 */
bool jh_events_feed(struct jh_events *e, struct jh_str bytes,
    void (*fn)(void *arg, const struct jh_event_block *event), void *arg);
/* Discards a partial event. */
void jh_events_restart(struct jh_events *e);
/* Whether the parser holds a partial event. */
bool jh_events_partial(const struct jh_events *e);
/* Value of the event's first field of that name; ptr is NULL if none. */
struct jh_str jh_event_field(
    const struct jh_event_block *event, const char *name);

#endif
