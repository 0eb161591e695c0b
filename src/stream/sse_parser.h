#ifndef STREAM_SSE_PARSER_H
#define STREAM_SSE_PARSER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Parser of server-sent events. It splits a stream into complete events, so
 * that a stream that breaks off inside an event can be resumed from another
 * worker.
 */
struct jh_sse_parser;

/* One complete event; its bytes are valid only during the callback. */
struct jh_sse_event {
	struct jh_str bytes; /* as received, including the empty line */
	bool has_id;
	uint64_t id; /* value of the id field, if has_id */
};

/* Longest event, in bytes; engines send a few hundred. */
#define JH_SSE_EVENT_MAX_LEN 65536

struct jh_sse_parser *jh_sse_parser_create(void);
void jh_sse_parser_destroy(struct jh_sse_parser *e);

/*
 * Parses received bytes and calls fn for each event that is now complete.
 * Returns false if an event is too long or its id is not a number.
 */
bool jh_sse_parser_feed(struct jh_sse_parser *e, struct jh_str bytes,
    void (*fn)(void *arg, const struct jh_sse_event *event), void *arg);
/* Discards a partial event. */
void jh_sse_parser_reset(struct jh_sse_parser *e);
/* Whether the parser holds a partial event. */
bool jh_sse_parser_has_partial(const struct jh_sse_parser *e);
/* Value of the event's first field of that name; ptr is NULL if none. */
struct jh_str jh_sse_event_field(
    const struct jh_sse_event *event, const char *name);

#endif
