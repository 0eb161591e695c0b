#ifndef JACINTHHILL_RELAY_H
#define JACINTHHILL_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Checks a stream of server-sent events against its positions: every token is
 * handed on exactly once and in order, whatever the upstream repeats. After a
 * break the stream goes on from another upstream. Positions count from 1.
 */
struct jh_relay;

struct jh_relay_ops {
	/* The next token; payload is the event's data field. */
	void (*token)(void *arg, uint64_t position, struct jh_str payload);
	/* The stream is complete. */
	void (*end)(void *arg);
};

enum jh_relay_status {
	JH_RELAY_OK,
	JH_RELAY_GAP, /* the upstream skipped a position */
	JH_RELAY_MALFORMED /* an event without position, or too long */
};

/* Starts after the given position; ops must outlive the relay. */
struct jh_relay *jh_relay_create(
    uint64_t position, const struct jh_relay_ops *ops, void *arg);
void jh_relay_destroy(struct jh_relay *r);

/* Any status but JH_RELAY_OK ends this upstream; see jh_relay_restart(). */
enum jh_relay_status jh_relay_feed(struct jh_relay *r, struct jh_str bytes);

/* Forgets a partial event; the next upstream starts at or before the gap. */
void jh_relay_restart(struct jh_relay *r);

/* The last position handed on. */
uint64_t jh_relay_position(const struct jh_relay *r);
/* Text of the tokens handed on by this relay, for a resumed request. */
struct jh_str jh_relay_text(const struct jh_relay *r);
bool jh_relay_ended(const struct jh_relay *r);

#endif
