#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "http/client.h"
#include "raw_request.h"

/* Tests of the HTTP client of the daemons: peers that stop in their reply. */

#define WAIT_USEC (5 * JH_USEC_PER_SEC)

/* What the peer sends: the first bytes of a text. */
struct script {
	const char *text;
	size_t len;
};

struct call {
	int ended; /* atomic */
	bool begun;
	size_t body_len;
	enum jh_http_result result;
};

static void
serve(void *arg, int fd)
{
	const struct script *script = arg;
	char buf[4096];

	(void)!read(fd, buf, sizeof(buf));
	(void)!write(fd, script->text, script->len);
}

static void
on_begun(void *arg, struct jh_http_call *call)
{
	((struct call *)arg)->begun = true;
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	((struct call *)arg)->body_len += data.len;
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct call *c = arg;

	c->result = result;
	g_atomic_int_set(&c->ended, 1);
}

static const struct jh_http_call_ops ops = {on_begun, on_data, on_done};

/* Calls the peer, which sends the first len bytes of the text. */
static void
call_peer(struct jh_http_client *client, struct raw_peer *p, const char *text,
    size_t len, struct call *c)
{
	struct script *script = p->arg;
	uint64_t now = jh_now();
	struct jh_http_call_spec spec = {.peer = p->address,
	    .method = "GET",
	    .path = "/",
	    .deadline = now + WAIT_USEC,
	    .own_connection = true,
	    .ops = &ops,
	    .arg = c};

	memset(c, 0, sizeof(*c));
	*script = (struct script){text, len};
	jh_http_call_unref(jh_http_call_start(client, &spec));
	while (!g_atomic_int_get(&c->ended)) {
		assert_true(jh_now() < now + 2 * WAIT_USEC);
		g_usleep(200);
	}
}

/*
 * Guards against a reply that ends within its head and counts as complete: the
 * caller got a success without a body.
 */
static void
reply_that_ends_in_its_head_is_lost(void **state)
{
	static const char *const heads[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 200\r\nX-Seal: a\r\n\r\n",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	    "HTTP/1.1 200 OK\nContent-Type: text/plain\n\n",
	    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"};
	struct jh_http_client *client = jh_http_client_create("test", 8);
	struct script script = {0};
	struct raw_peer p = {.serve = serve, .arg = &script};
	struct call c;
	size_t i, len;

	raw_peer_start(&p);
	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		for (len = 1; len < strlen(heads[i]); len++) {
			call_peer(client, &p, heads[i], len, &c);
			if (c.result != JH_HTTP_CONNECTION_LOST || c.begun)
				fail_msg("head %zu, %zu bytes: result %d", i,
				    len, (int)c.result);
		}
	}
	jh_http_client_destroy(client);
	raw_peer_stop(&p);
}

/* Guards against the loss of replies that are whole. */
static void
whole_reply_is_complete(void **state)
{
	static const char *const replies[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    "HTTP/1.1 200 OK\r\n\r\nok",
	    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
	    "HTTP/1.1 100 Continue\r\n\r\n"
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nok\r\n0\r\n\r\n"};
	struct jh_http_client *client = jh_http_client_create("test", 8);
	struct script script = {0};
	struct raw_peer p = {.serve = serve, .arg = &script};
	struct call c;
	size_t i;

	raw_peer_start(&p);
	for (i = 0; i < G_N_ELEMENTS(replies); i++) {
		call_peer(client, &p, replies[i], strlen(replies[i]), &c);
		assert_int_equal(c.result, JH_HTTP_OK);
		assert_true(c.begun);
		assert_int_equal(c.body_len, 2);
	}
	jh_http_client_destroy(client);
	raw_peer_stop(&p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reply_that_ends_in_its_head_is_lost),
	    cmocka_unit_test(whole_reply_is_complete),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
