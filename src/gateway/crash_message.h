#ifndef GATEWAY_CRASH_MESSAGE_H
#define GATEWAY_CRASH_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include <jacinthhill/suspects.h>

/* The crashes of requests and parts in a datagram. */

/*
 * Writes the crashes of quarantined parts and what changed since a revision, up
 * to max bytes, and returns their number; 0 if there is nothing to tell. now:
 * jh_now() time. turn: see jh_suspects_export_latest().
 */
size_t jh_crash_message_write(const struct jh_suspects *s, uint64_t now,
    uint64_t since, uint64_t turn, unsigned char *out, size_t max);
/* Merges the message; returns false if its length is not that of a message. */
bool jh_crash_message_read(
    struct jh_suspects *s, uint64_t now, const unsigned char *in, size_t len);

#endif
