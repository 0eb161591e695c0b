#ifndef RPC_SEAL_H
#define RPC_SEAL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/auth.h"
#include "rpc/control.h"

/* Part of what the MAC covers, so that a request cannot pass as a reply. */
enum jh_seal_direction { JH_SEAL_REQUEST = 'q', JH_SEAL_REPLY = 'r' };

/*
 * Encodes value with xdr and authenticates it with a MAC that also covers the
 * procedure, the direction, the send time and s->nonce, which the caller has
 * set. Returns false if the value cannot be encoded. Release the payload with
 * xdr_free() of the sealed message.
 */
bool jh_seal(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, xdrproc_t xdr, void *value,
    struct jh_sealed *s);

/*
 * Checks the MAC and the send time, and decodes the payload into *value, which
 * the caller has zeroed and must release with xdr_free() if this returns true.
 */
bool jh_unseal(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, const struct jh_sealed *s, xdrproc_t xdr,
    void *value);

#endif
