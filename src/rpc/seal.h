#ifndef RPC_SEAL_H
#define RPC_SEAL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/auth.h"
#include "rpc/control.h"

enum jh_seal_direction { JH_SEAL_REQUEST = 'q', JH_SEAL_REPLY = 'r' };

/*
 * Encodes value with xdr and seals it under s->nonce, which the caller has
 * set. Returns false when the value does not encode. Release the payload with
 * xdr_free() of the sealed message.
 */
bool jh_seal(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, xdrproc_t xdr, void *value,
    struct jh_sealed *s);

/*
 * Checks MAC and send time, then decodes into *value, which the caller has
 * zeroed and must release with xdr_free() if this returns true.
 */
bool jh_unseal(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, const struct jh_sealed *s, xdrproc_t xdr,
    void *value);

#endif
