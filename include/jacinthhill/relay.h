#ifndef JACINTHHILL_RELAY_H
#define JACINTHHILL_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Relays the tokens of a stream of server-sent events. The id of an event is
 * the position of its token, counted from 1. Each token is passed on exactly
 * once and in order, even if the upstream repeats tokens. After a connection
 * breaks, the stream is resumed from another upstream.
 */
struct jh_relay;

/* Callbacks of a relay. */
struct jh_relay_ops {
	/* The next token has arrived; payload is the event's data field. */
	void (*token)(void *arg, uint64_t position, struct jh_str payload);
	/* The stream is complete. */
	void (*end)(void *arg);
};

enum jh_relay_status {
	JH_RELAY_OK,
	JH_RELAY_GAP, /* the upstream skipped a position */
	JH_RELAY_MALFORMED /* an event has no valid position or is too long */
};

/* The first token passed on follows position; ops must outlive the relay. */
struct jh_relay *jh_relay_create(
    uint64_t position, const struct jh_relay_ops *ops, void *arg);
void jh_relay_destroy(struct jh_relay *r);

/*
 * Processes bytes from the upstream. After any status but JH_RELAY_OK this
 * upstream must not be used any more; see jh_relay_restart().
 */
enum jh_relay_status jh_relay_feed(struct jh_relay *r, struct jh_str bytes);

/*
 * Discards a partial event before the switch to another upstream, whose stream
 * must start at or before the token after jh_relay_position().
 */
void jh_relay_restart(struct jh_relay *r);

/* Position of the last token that was passed on. */
uint64_t jh_relay_position(const struct jh_relay *r);
/* Text of the tokens that this relay passed on, for resuming the request. */
struct jh_str jh_relay_text(const struct jh_relay *r);
/* Whether the stream is complete. */
bool jh_relay_ended(const struct jh_relay *r);

#endif
