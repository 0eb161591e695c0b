#ifndef GATEWAY_QUOTA_MESSAGE_H
#define GATEWAY_QUOTA_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "route/quota_ledger.h"

/* Use of quotas in a datagram; a message without records is valid. */

/*
 * Writes up to max bytes and returns their number. now: jh_now() time. next:
 * see jh_quota_ledger_export().
 */
size_t jh_quota_message_write(struct jh_quota_ledger *l, uint64_t now,
    size_t *next, unsigned char *out, size_t max);
/*
 * Merges the message of a peer; returns false if its length is not that of a
 * message.
 */
bool jh_quota_message_read(struct jh_quota_ledger *l, uint64_t now,
    uint64_t peer, const unsigned char *in, size_t len);

#endif
