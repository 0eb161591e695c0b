#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "rpc/seal.h"

static void
compute_mac(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, const struct jh_sealed *s,
    uint8_t out[JH_AUTH_MAC_LEN])
{
	struct jh_auth_mac *m = jh_auth_mac_create(key);
	uint64_t sent = GUINT64_TO_BE(s->sent_usec);
	uint32_t number = GUINT32_TO_BE(proc);
	uint8_t direction = (uint8_t)dir;

	jh_auth_mac_add(m, &direction, sizeof(direction));
	jh_auth_mac_add(m, &number, sizeof(number));
	jh_auth_mac_add(m, s->nonce, sizeof(s->nonce));
	jh_auth_mac_add(m, &sent, sizeof(sent));
	jh_auth_mac_add_str(
	    m, (struct jh_str){s->payload.payload_val, s->payload.payload_len});
	jh_auth_mac_finish(m, out);
}

bool
jh_seal(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, xdrproc_t xdr, void *value, struct jh_sealed *s)
{
	uint8_t mac[JH_AUTH_MAC_LEN];
	unsigned long size = xdr_sizeof(xdr, value);
	XDR x;

	if (size == 0 || size > JH_MAX_PAYLOAD)
		return false;
	s->payload.payload_val = malloc(size);
	if (s->payload.payload_val == NULL)
		return false;
	xdrmem_create(&x, s->payload.payload_val, (u_int)size, XDR_ENCODE);
	if (!xdr(&x, value)) {
		free(s->payload.payload_val);
		s->payload.payload_val = NULL;
		return false;
	}
	s->payload.payload_len = xdr_getpos(&x);
	xdr_destroy(&x);
	s->sent_usec = jh_wall_now();
	compute_mac(key, proc, dir, s, mac);
	memcpy(s->mac, mac, sizeof(mac));
	return true;
}

bool
jh_unseal(const struct jh_auth_key *key, uint32_t proc,
    enum jh_seal_direction dir, const struct jh_sealed *s, xdrproc_t xdr,
    void *value)
{
	uint8_t mac[JH_AUTH_MAC_LEN];
	bool ok;
	XDR x;

	compute_mac(key, proc, dir, s, mac);
	if (!jh_auth_mac_eq(mac, (const uint8_t *)s->mac) ||
	    !jh_auth_is_recent(s->sent_usec))
		return false;
	xdrmem_create(
	    &x, s->payload.payload_val, s->payload.payload_len, XDR_DECODE);
	ok = xdr(&x, value);
	xdr_destroy(&x);
	if (!ok)
		xdr_free(xdr, value);
	return ok;
}
