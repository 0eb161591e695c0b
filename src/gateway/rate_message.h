#ifndef GATEWAY_RATE_MESSAGE_H
#define GATEWAY_RATE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "route/rate_limits.h"

/* The rate limits of workers in a datagram. */

/*
 * Writes up to max bytes and returns their number; 0 if there is nothing to
 * tell. now: jh_now() time. next: see jh_rate_limits_export().
 */
size_t jh_rate_message_write(const struct jh_rate_limits *l, uint64_t now,
    size_t *next, unsigned char *out, size_t max);
/*
 * Merges the message of a peer; returns false if its length is not that of a
 * message.
 */
bool jh_rate_message_read(struct jh_rate_limits *l, uint64_t now, uint64_t peer,
    const unsigned char *in, size_t len);

#endif
