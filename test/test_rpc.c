#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "rpc/seal.h"
#include "rpc/server.h"

/* Far longer than a call takes; it is reached only if a call hangs. */
#define CALL_TIMEOUT_USEC (30 * JH_USEC_PER_SEC)

static int drains;

static void
handle_drain(void *arg, const void *args, void *reply)
{
	const struct jh_drain_args *a = args;
	struct jh_status_reply *r = reply;

	drains++;
	r->code = (u_int)a->incarnation;
	r->message = g_strdup("draining");
}

static const struct jh_rpc_handler handlers[] = {
    {JH_DRAIN, handle_drain}, {0, NULL}};

static struct sockaddr_in
loopback(unsigned int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

/* Guards against lost or confused replies and unauthenticated calls. */
static void
authenticates_both_sides(void **state)
{
	struct jh_auth_key key = {{1}}, wrong = {{2}};
	struct jh_drain_args args = {.incarnation = 7};
	struct jh_status_reply reply = {0};
	struct sockaddr_in address = loopback(0);
	struct jh_rpc_server *s;
	GError *err = NULL;

	drains = 0;
	s = jh_rpc_server_create(&address, &key, handlers, NULL, &err);
	assert_non_null(s);
	address = loopback(jh_rpc_server_port(s));
	assert_true(jh_rpc_call(&address, &key, JH_DRAIN, &args, &reply,
	    jh_now() + CALL_TIMEOUT_USEC, &err));
	assert_int_equal(reply.code, 7);
	assert_string_equal(reply.message, "draining");
	jh_rpc_reply_clear(JH_DRAIN, &reply);
	assert_int_equal(drains, 1);

	memset(&reply, 0, sizeof(reply));
	assert_false(jh_rpc_call(&address, &wrong, JH_DRAIN, &args, &reply,
	    jh_now() + CALL_TIMEOUT_USEC, &err));
	assert_true(g_error_matches(err, JH_RPC_ERROR, JH_RPC_ERROR_REFUSED));
	g_clear_error(&err);
	assert_int_equal(drains, 1);
	jh_rpc_server_destroy(s);

	assert_false(jh_rpc_call(&address, &key, JH_DRAIN, &args, &reply,
	    jh_now() + CALL_TIMEOUT_USEC, &err));
	assert_true(
	    g_error_matches(err, JH_RPC_ERROR, JH_RPC_ERROR_NO_LISTENER));
	g_clear_error(&err);
}

/* Guards against accepting a message that is changed, redirected or old. */
static void
seal_covers_every_field(void **state)
{
	struct jh_auth_key key = {{1}};
	struct jh_drain_args args = {.incarnation = 7}, out = {0};
	struct jh_sealed s = {.nonce = "nonce"};
	xdrproc_t xdr = (xdrproc_t)xdr_jh_drain_args;

	assert_true(jh_seal(&key, JH_DRAIN, JH_SEAL_REQUEST, xdr, &args, &s));
	assert_true(jh_unseal(&key, JH_DRAIN, JH_SEAL_REQUEST, &s, xdr, &out));
	assert_int_equal(out.incarnation, 7);
	assert_false(jh_unseal(&key, JH_ORDER, JH_SEAL_REQUEST, &s, xdr, &out));
	assert_false(jh_unseal(&key, JH_DRAIN, JH_SEAL_REPLY, &s, xdr, &out));
	s.payload.payload_val[7] ^= 1;
	assert_false(jh_unseal(&key, JH_DRAIN, JH_SEAL_REQUEST, &s, xdr, &out));
	s.payload.payload_val[7] ^= 1;
	s.nonce[0] ^= 1;
	assert_false(jh_unseal(&key, JH_DRAIN, JH_SEAL_REQUEST, &s, xdr, &out));
	s.nonce[0] ^= 1;
	s.sent_usec -= JH_AUTH_SKEW_USEC + 1;
	assert_false(jh_unseal(&key, JH_DRAIN, JH_SEAL_REQUEST, &s, xdr, &out));
	xdr_free((xdrproc_t)xdr_jh_sealed, &s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(authenticates_both_sides),
	    cmocka_unit_test(seal_covers_every_field),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
