#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>

#include <jacinthhill/clock.h>

#include "net/client.h"
#include "net/server.h"

/*
 * Tests of the HTTP client and the HTTP server over loopback. The peer is a
 * thread with a plain socket, so that it can violate the protocol.
 */

#define LIMIT_USEC (10 * JH_USEC_PER_SEC)

/* A peer that may send this much has not been stopped. */
#define FLOOD_LIMIT ((size_t)64 * 1024 * 1024)

/*
 * What a peer may send before the client closes: the client's limits and what
 * the sockets of both sides hold.
 */
#define FLOOD_BOUND ((size_t)16 * 1024 * 1024)

struct peer {
	int listener;
	struct sockaddr_in address;
	pthread_t thread;
	const char *response; /* written after each request */
	const char *flood; /* then repeated until the client closes; or NULL */
	size_t flooded; /* bytes of that */
	bool reset; /* resets the connection instead of closing it */
	bool keep; /* serves two requests on the connection */
	unsigned int requests;
};

static void
read_request(int fd)
{
	char buf[4096];
	size_t n = 0;
	ssize_t r;

	while (n < sizeof(buf) - 1) {
		r = read(fd, buf + n, sizeof(buf) - 1 - n);
		if (r <= 0)
			return;
		n += (size_t)r;
		buf[n] = '\0';
		if (strstr(buf, "\r\n\r\n") != NULL)
			return;
	}
}

static void
send_flood(struct peer *p, int fd)
{
	ssize_t n;

	if (p->flood == NULL)
		return;
	while (p->flooded < FLOOD_LIMIT) {
		n = send(fd, p->flood, strlen(p->flood), MSG_NOSIGNAL);
		if (n < 0)
			return;
		p->flooded += (size_t)n;
	}
}

static void *
serve_peer(void *arg)
{
	struct peer *p = arg;
	struct linger linger = {1, 0};
	int fd = accept(p->listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	do {
		read_request(fd);
		p->requests++;
		if (write(fd, p->response, strlen(p->response)) < 0)
			break;
		send_flood(p, fd);
	} while (p->keep && p->requests < 2);
	if (p->reset) {
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	}
	close(fd);
	return NULL;
}

static void
peer_start(struct peer *p)
{
	socklen_t len = sizeof(p->address);

	p->address = (struct sockaddr_in){.sin_family = AF_INET};
	p->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	p->listener = socket(AF_INET, SOCK_STREAM, 0);
	assert_int_equal(bind(p->listener, (struct sockaddr *)&p->address,
			     sizeof(p->address)),
	    0);
	assert_int_equal(listen(p->listener, 8), 0);
	getsockname(p->listener, (struct sockaddr *)&p->address, &len);
	pthread_create(&p->thread, NULL, serve_peer, p);
}

static void
peer_stop(struct peer *p)
{
	shutdown(p->listener, SHUT_RDWR);
	pthread_join(p->thread, NULL);
	close(p->listener);
}

/* A call and its result. */
struct call {
	uv_loop_t *loop;
	enum jh_call_result result;
	bool ended;
	unsigned int status;
	GString *body;
	size_t body_limit; /* a longer body is rejected; 0: none */
	const char *skip; /* a response with this field is to another request */
	/* Its deadline, and the pause of the loop, in microseconds; 0: usual */
	uint64_t limit_usec, pause_usec;
	uint64_t connect_usec; /* the same for the time to connect */
	uint64_t send_usec; /* the same for the time to send */
};

static bool
on_head(void *arg, const struct jh_head *head)
{
	struct call *c = arg;

	if (c->skip != NULL && jh_head_get(head, c->skip).ptr != NULL)
		return false;
	c->status = head->status;
	return true;
}

static bool
on_body(void *arg, const char *p, size_t n)
{
	struct call *c = arg;

	g_string_append_len(c->body, p, (gssize)n);
	return c->body_limit == 0 || c->body->len <= c->body_limit;
}

static void
on_end(void *arg, enum jh_call_result result)
{
	struct call *c = arg;

	c->result = result;
	c->ended = true;
}

static const struct jh_call_ops call_ops = {on_head, on_body, on_end};

static void
start_call(struct jh_uv_client *http_client, const struct sockaddr_in *address,
    struct call *c)
{
	uint64_t now = jh_now();
	uint64_t limit = c->limit_usec != 0 ? c->limit_usec : LIMIT_USEC;
	uint64_t connect = c->connect_usec != 0 ? c->connect_usec : limit;
	struct jh_call_spec spec = {
	    .peer = *address,
	    .message = g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	    .connect_deadline = now + connect,
	    .send_deadline = now + (c->send_usec != 0 ? c->send_usec : limit),
	    .deadline = now + limit,
	    .max_idle_usec = LIMIT_USEC,
	    .ops = &call_ops,
	    .arg = c,
	};

	g_string_truncate(c->body, 0);
	c->status = 0;
	c->ended = false;
	jh_call_start(http_client, &spec);
}

static void
call_peer(struct jh_uv_client *http_client, const struct sockaddr_in *address,
    struct call *c)
{
	start_call(http_client, address, c);
	/* Pause, so that data and the connection's end are read together. */
	uv_run(c->loop, UV_RUN_NOWAIT);
	uv_run(c->loop, UV_RUN_NOWAIT);
	g_usleep(c->pause_usec != 0 ? c->pause_usec : 50000);
	/* It may have ended already, and a kept connection stays open. */
	while (!c->ended)
		uv_run(c->loop, UV_RUN_ONCE);
}

static void
close_loop(uv_loop_t *loop)
{
	uv_run(loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(loop), 0);
}

static void
one_call(struct peer *p, struct call *c)
{
	struct jh_uv_client *http_client;
	uv_loop_t loop;

	uv_loop_init(&loop);
	http_client = jh_uv_client_create(&loop);
	c->loop = &loop;
	c->body = g_string_new(NULL);
	peer_start(p);
	call_peer(http_client, &p->address, c);
	jh_uv_client_destroy(http_client);
	close_loop(&loop);
	peer_stop(p);
	c->loop = NULL;
}

/*
 * Guards against discarding a response that arrived in time while the loop did
 * not run until the deadline.
 */
static void
response_that_arrived_in_a_pause_is_read(void **state)
{
	struct peer p = {
	    .response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
	struct call c = {.limit_usec = 200000, .pause_usec = 400000};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_string_equal(c.body->str, "ok");
	g_string_free(c.body, TRUE);
}

/* A call during which the loop does not run for 0.4 s while it connects. */
static enum jh_call_result
call_with_pause_while_connecting(struct call c)
{
	struct peer p = {
	    .response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
	struct jh_uv_client *http_client;
	uv_loop_t loop;

	uv_loop_init(&loop);
	http_client = jh_uv_client_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	start_call(http_client, &p.address, &c);
	g_usleep(400000);
	while (!c.ended)
		uv_run(&loop, UV_RUN_ONCE);
	jh_uv_client_destroy(http_client);
	close_loop(&loop);
	peer_stop(&p);
	g_string_free(c.body, TRUE);
	return c.result;
}

/* Guards against the same for a connection that was opened in time. */
static void
connection_that_opened_in_a_pause_is_used(void **state)
{
	struct call c = {.connect_usec = 200000};

	assert_int_equal(call_with_pause_while_connecting(c), JH_CALL_COMPLETE);
}

/* Guards against sending a request whose deadline passed meanwhile. */
static void
request_is_not_sent_after_its_deadline(void **state)
{
	struct call c = {.limit_usec = 200000};

	assert_int_equal(call_with_pause_while_connecting(c), JH_CALL_NOT_SENT);
}

/* Guards against the same for an order that may not be sent late. */
static void
order_is_not_sent_after_its_time_to_send(void **state)
{
	struct call c = {.connect_usec = 200000, .send_usec = 200000};

	assert_int_equal(call_with_pause_while_connecting(c), JH_CALL_NOT_SENT);
}

/*
 * Guards against sending a request on a kept connection whose end has arrived
 * in a pause of the loop: the request then may have run.
 */
static void
connection_that_ended_in_a_pause_is_not_used(void **state)
{
	struct peer p = {
	    .response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
	struct call c = {0};
	struct jh_uv_client *http_client;
	uv_loop_t loop;

	uv_loop_init(&loop);
	http_client = jh_uv_client_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	start_call(http_client, &p.address, &c);
	while (!c.ended)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	pthread_join(p.thread, NULL);
	/* The peer has closed; the loop has not run since. */
	pthread_create(&p.thread, NULL, serve_peer, &p);
	start_call(http_client, &p.address, &c);
	while (!c.ended)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	jh_uv_client_destroy(http_client);
	close_loop(&loop);
	peer_stop(&p);
	g_string_free(c.body, TRUE);
}

/* A timer that is due with a deadline, and whose callback takes a while. */
static void
on_slow_timer(uv_timer_t *t)
{
	g_usleep(3000);
	uv_update_time(t->loop);
	uv_close((uv_handle_t *)t, NULL);
}

/*
 * Guards against a deadline that ends a call without a poll, as other timers
 * that are due in the same iteration take longer than the time it is put off.
 */
static void
response_is_read_although_other_timers_take_long(void **state)
{
	struct peer p = {
	    .response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
	struct call c = {.limit_usec = 200000};
	struct jh_uv_client *http_client;
	uv_timer_t slow;
	uv_loop_t loop;

	uv_loop_init(&loop);
	http_client = jh_uv_client_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	start_call(http_client, &p.address, &c);
	uv_timer_init(&loop, &slow);
	uv_timer_start(&slow, on_slow_timer, 250, 0);
	uv_run(&loop, UV_RUN_NOWAIT);
	uv_run(&loop, UV_RUN_NOWAIT);
	g_usleep(400000);
	while (!c.ended)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	jh_uv_client_destroy(http_client);
	close_loop(&loop);
	peer_stop(&p);
	g_string_free(c.body, TRUE);
}

/* Guards against treating a response cut off by a reset as complete. */
static void
reset_after_data_is_broken(void **state)
{
	struct peer p = {
	    .response = "HTTP/1.1 200 OK\r\n\r\npart", .reset = true};
	struct call c = {0};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_BROKEN);
	/* The head tells a request that crashed its worker from others. */
	assert_int_equal(c.status, 200);
	g_string_free(c.body, TRUE);
}

/* Guards against a response without a length that never completes. */
static void
end_after_data_is_complete(void **state)
{
	struct peer p = {.response = "HTTP/1.1 200 OK\r\n\r\nwhole"};
	struct call c = {0};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_string_equal(c.body->str, "whole");
	g_string_free(c.body, TRUE);
}

/* Guards against returning the response to an earlier request. */
static void
response_to_another_request_is_skipped(void **state)
{
	struct peer p = {
	    .response = "HTTP/1.1 200 OK\r\nOld: 1\r\nContent-Length: 3\r\n\r\n"
			"oldHTTP/1.1 201 OK\r\nContent-Length: 3\r\n\r\nnew"};
	struct call c = {.skip = "Old"};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_int_equal(c.status, 201);
	assert_string_equal(c.body->str, "new");
	g_string_free(c.body, TRUE);
}

/* Guards against accepting data that is not HTTP. */
static void
non_http_response_is_broken(void **state)
{
	struct peer p = {.response = "\x01\x02 garbage\r\n\r\n"};
	struct call c = {0};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_MALFORMED);
	g_string_free(c.body, TRUE);
}

/* Checks that a refused connection is reported as "not sent". */
static void
refused_connection_is_not_sent(void **state)
{
	struct peer p = {.response = ""};
	struct jh_uv_client *http_client;
	struct call c = {0};
	uv_loop_t loop;

	uv_loop_init(&loop);
	http_client = jh_uv_client_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	peer_stop(&p);
	call_peer(http_client, &p.address, &c);
	assert_int_equal(c.result, JH_CALL_NOT_SENT);
	jh_uv_client_destroy(http_client);
	close_loop(&loop);
	g_string_free(c.body, TRUE);
}

/* Guards against opening a new connection for each request. */
static void
connection_is_kept(void **state)
{
	struct peer p = {.response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				     "Keep-Alive: timeout=30\r\n\r\nok",
	    .keep = true};
	struct jh_uv_client *http_client;
	struct call c = {0};
	uv_loop_t loop;

	uv_loop_init(&loop);
	http_client = jh_uv_client_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	call_peer(http_client, &p.address, &c);
	call_peer(http_client, &p.address, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_int_equal(jh_uv_client_connections_opened(http_client), 1);
	jh_uv_client_destroy(http_client);
	close_loop(&loop);
	peer_stop(&p);
	g_string_free(c.body, TRUE);
}

/* Calls a peer that floods after the response; returns the call's result. */
static enum jh_call_result
call_flooding_peer(const char *response, const char *flood)
{
	char line[4096];
	struct peer p = {.response = response, .flood = line};
	struct call c = {
	    .skip = "Stray", .body_limit = 65536, .result = JH_CALL_COMPLETE};
	size_t n = strlen(flood), i;

	for (i = 0; i + n < sizeof(line); i += n)
		memcpy(line + i, flood, n);
	line[i] = '\0';
	one_call(&p, &c);
	g_string_free(c.body, TRUE);
	assert_true(p.flooded < FLOOD_BOUND);
	return c.result;
}

/*
 * Guards against a peer whose bytes are no response and come without end: they
 * must neither be read until the deadline nor fill the memory.
 */
static void
floods_end_the_call(void **state)
{
	static const struct {
		const char *response, *flood;
	} cases[] = {
	    /* heads */
	    {"HTTP/1.1 200 OK\r\n", "X-Field: more\r\n"},
	    {"HTTP/1.1 200 OK\r\nX-Field: ", "aaaaaaaaaaaaaaaa"},
	    {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	    {"", "no response at all "},
	    /* bodies */
	    {"HTTP/1.1 200 OK\r\n\r\n", "until the connection ends "},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"longer than promised "},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"4\r\nmore\r\n"},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
		"extension"},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	     "0\r\n",
		"Trailer: more\r\n"},
	    /* a response to another request */
	    {"HTTP/1.1 200 OK\r\nStray: 1\r\n\r\n", "without end "},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (call_flooding_peer(cases[i].response, cases[i].flood) !=
		    JH_CALL_MALFORMED)
			fail_msg("case %zu: not broken", i);
	}
}

/* A server with one handler; a client runs in a thread. */
struct server {
	uv_loop_t loop;
	struct jh_uv_server *http_server;
	struct sockaddr_in address;
	struct jh_server_request *current;
	unsigned int requests, disconnected;
	bool respond_at_once;
};

static void
on_disconnected(void *arg)
{
	struct server *s = arg;

	s->disconnected++;
	uv_stop(&s->loop);
}

static void
on_drained(void *arg)
{
}

static const struct jh_server_request_ops request_ops = {
    .disconnected = on_disconnected, .drained = on_drained};

static void
on_request(void *arg, struct jh_server_request *req)
{
	struct server *s = arg;

	s->requests++;
	s->current = req;
	jh_server_request_set_ops(req, &request_ops, s);
	if (s->respond_at_once)
		jh_server_request_respond(
		    req, 200, "OK", JH_STR(""), JH_STR("hello"));
}

static const struct jh_uv_server_ops server_ops = {.request = on_request};

static void
server_start(struct server *s, const struct jh_uv_server_limits *limits)
{
	struct peer probe = {.response = ""};

	/* Binds a port and closes it again, to find a free one. */
	peer_start(&probe);
	peer_stop(&probe);
	s->address = probe.address;
	uv_loop_init(&s->loop);
	s->http_server = jh_uv_server_create(&s->loop, limits, &server_ops, s);
	assert_int_equal(jh_uv_server_listen(s->http_server, &s->address), 0);
}

static void
server_stop(struct server *s)
{
	jh_uv_server_destroy(s->http_server);
	close_loop(&s->loop);
}

struct client {
	struct sockaddr_in address;
	const char *request;
	bool disconnect; /* closes without reading the response */
	char response[1024];
	uv_async_t done;
	uv_loop_t *loop;
};

static void *
client_main(void *arg)
{
	struct client *c = arg;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t n = 0;
	ssize_t r;

	if (connect(fd, (struct sockaddr *)&c->address, sizeof(c->address)) !=
		0 ||
	    write(fd, c->request, strlen(c->request)) < 0) {
		close(fd);
		return NULL;
	}
	if (c->disconnect) {
		g_usleep(50000);
		close(fd);
		return NULL;
	}
	while (n < sizeof(c->response) - 1) {
		r = read(fd, c->response + n, sizeof(c->response) - 1 - n);
		if (r <= 0)
			break;
		n += (size_t)r;
	}
	close(fd);
	uv_async_send(&c->done);
	return NULL;
}

static void
on_done(uv_async_t *a)
{
	uv_stop(a->loop);
}

static void
serve(struct server *s, struct client *c)
{
	pthread_t thread;

	c->address = s->address;
	uv_async_init(&s->loop, &c->done, on_done);
	pthread_create(&thread, NULL, client_main, c);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	pthread_join(thread, NULL);
	uv_close((uv_handle_t *)&c->done, NULL);
}

/* Guards against working on for a client that has disconnected. */
static void
client_disconnect_is_reported(void **state)
{
	const struct jh_uv_server_limits limits = {4096, 4096, 0, 0, 0};
	struct client c = {
	    .request = "GET / HTTP/1.1\r\n\r\n", .disconnect = true};
	struct server s = {0};

	server_start(&s, &limits);
	serve(&s, &c);
	assert_int_equal(s.requests, 1);
	assert_int_equal(s.disconnected, 1);
	assert_int_equal(jh_uv_server_active_requests(s.http_server), 0);
	server_stop(&s);
}

/* Checks that the server rejects a request without calling the handler. */
static void
expect_rejection(const struct jh_uv_server_limits *limits, const char *request,
    const char *status)
{
	struct client c = {.request = request};
	struct server s = {0};

	server_start(&s, limits);
	serve(&s, &c);
	assert_int_equal(s.requests, 0);
	assert_non_null(strstr(c.response, status));
	server_stop(&s);
}

/* Guards against bodies of unbounded size. */
static void
large_body_is_rejected(void **state)
{
	const struct jh_uv_server_limits limits = {4096, 4, 0, 0, 0};

	expect_rejection(&limits,
	    "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde", "413");
}

/* Guards against a client that occupies a connection with half a request. */
static void
slow_request_is_rejected(void **state)
{
	const struct jh_uv_server_limits limits = {4096, 4096, 300000, 0, 0};

	expect_rejection(&limits, "POST / HTTP/1.1\r\nContent-Le", "408");
}

/* Guards against dropping clients during a graceful shutdown. */
static void
draining_server_still_responds(void **state)
{
	const struct jh_uv_server_limits limits = {4096, 4096, 0, 0, 0};
	struct client c = {.request = "GET / HTTP/1.1\r\n\r\n"};
	struct server s = {.respond_at_once = true};

	server_start(&s, &limits);
	jh_uv_server_drain(s.http_server);
	serve(&s, &c);
	assert_non_null(strstr(c.response, "200 OK"));
	assert_non_null(strstr(c.response, "Connection: close"));
	assert_non_null(strstr(c.response, "hello"));
	server_stop(&s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(response_that_arrived_in_a_pause_is_read),
	    cmocka_unit_test(connection_that_opened_in_a_pause_is_used),
	    cmocka_unit_test(request_is_not_sent_after_its_deadline),
	    cmocka_unit_test(order_is_not_sent_after_its_time_to_send),
	    cmocka_unit_test(connection_that_ended_in_a_pause_is_not_used),
	    cmocka_unit_test(response_is_read_although_other_timers_take_long),
	    cmocka_unit_test(reset_after_data_is_broken),
	    cmocka_unit_test(end_after_data_is_complete),
	    cmocka_unit_test(floods_end_the_call),
	    cmocka_unit_test(response_to_another_request_is_skipped),
	    cmocka_unit_test(non_http_response_is_broken),
	    cmocka_unit_test(refused_connection_is_not_sent),
	    cmocka_unit_test(connection_is_kept),
	    cmocka_unit_test(client_disconnect_is_reported),
	    cmocka_unit_test(large_body_is_rejected),
	    cmocka_unit_test(slow_request_is_rejected),
	    cmocka_unit_test(draining_server_still_responds),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
