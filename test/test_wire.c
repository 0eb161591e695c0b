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

#include "net/caller.h"
#include "net/front.h"

/*
 * The caller and the front over loopback. A plain thread plays the peer, so
 * that it can break the protocol.
 */

#define LIMIT_USEC (10 * JH_USEC_PER_SEC)

struct peer {
	int listener;
	struct sockaddr_in address;
	pthread_t thread;
	const char *answer; /* written after a request was read */
	bool reset; /* then resets the connection rather than closing it */
	bool keep; /* then waits for another request */
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

static void *
play(void *arg)
{
	struct peer *p = arg;
	struct linger linger = {1, 0};
	int fd = accept(p->listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	do {
		read_request(fd);
		p->requests++;
		if (write(fd, p->answer, strlen(p->answer)) < 0)
			break;
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
	pthread_create(&p->thread, NULL, play, p);
}

static void
peer_stop(struct peer *p)
{
	shutdown(p->listener, SHUT_RDWR);
	pthread_join(p->thread, NULL);
	close(p->listener);
}

/* One call and what came of it. */
struct call {
	uv_loop_t *loop;
	enum jh_call_result result;
	unsigned int status;
	GString *body;
	const char *skip; /* heads with this field are of another request */
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

static void
on_body(void *arg, const char *p, size_t n)
{
	struct call *c = arg;

	g_string_append_len(c->body, p, (gssize)n);
}

static void
on_end(void *arg, enum jh_call_result result)
{
	struct call *c = arg;

	c->result = result;
	uv_stop(c->loop);
}

static const struct jh_call_ops call_ops = {on_head, on_body, on_end};

static void
call_peer(
    struct jh_caller *caller, const struct sockaddr_in *address, struct call *c)
{
	uint64_t now = jh_now();
	struct jh_call_spec spec = {
	    .peer = *address,
	    .message = g_string_new("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	    .connect_deadline = now + LIMIT_USEC,
	    .deadline = now + LIMIT_USEC,
	    .most_idle_usec = LIMIT_USEC,
	    .ops = &call_ops,
	    .arg = c,
	};

	g_string_truncate(c->body, 0);
	c->status = 0;
	jh_call_start(caller, &spec);
	/* The peer's data and the end of its connection are found together. */
	uv_run(c->loop, UV_RUN_NOWAIT);
	uv_run(c->loop, UV_RUN_NOWAIT);
	g_usleep(50000);
	uv_run(c->loop, UV_RUN_DEFAULT);
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
	struct jh_caller *caller;
	uv_loop_t loop;

	uv_loop_init(&loop);
	caller = jh_caller_create(&loop);
	c->loop = &loop;
	c->body = g_string_new(NULL);
	peer_start(p);
	call_peer(caller, &p->address, c);
	jh_caller_destroy(caller);
	close_loop(&loop);
	peer_stop(p);
	c->loop = NULL;
}

/* Guards against an answer cut by a reset that is taken for whole. */
static void
reset_after_data_is_broken(void **state)
{
	struct peer p = {
	    .answer = "HTTP/1.1 200 OK\r\n\r\npart", .reset = true};
	struct call c = {0};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_BROKEN);
	g_string_free(c.body, TRUE);
}

/* Guards against an answer without a length that is never complete. */
static void
end_after_data_is_complete(void **state)
{
	struct peer p = {.answer = "HTTP/1.1 200 OK\r\n\r\nwhole"};
	struct call c = {0};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_string_equal(c.body->str, "whole");
	g_string_free(c.body, TRUE);
}

/* Guards against an answer of an earlier request given to this one. */
static void
answer_of_another_is_skipped(void **state)
{
	struct peer p = {
	    .answer = "HTTP/1.1 200 OK\r\nOld: 1\r\nContent-Length: 3\r\n\r\n"
		      "oldHTTP/1.1 201 OK\r\nContent-Length: 3\r\n\r\nnew"};
	struct call c = {.skip = "Old"};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_int_equal(c.status, 201);
	assert_string_equal(c.body->str, "new");
	g_string_free(c.body, TRUE);
}

/* Guards against bytes that are no HTTP. */
static void
no_http_is_broken(void **state)
{
	struct peer p = {.answer = "\x01\x02 garbage\r\n\r\n"};
	struct call c = {0};

	one_call(&p, &c);
	assert_int_equal(c.result, JH_CALL_BROKEN);
	g_string_free(c.body, TRUE);
}

/* Guards against "not sent" said of a request that may have arrived. */
static void
refused_connection_is_not_sent(void **state)
{
	struct peer p = {.answer = ""};
	struct jh_caller *caller;
	struct call c = {0};
	uv_loop_t loop;

	uv_loop_init(&loop);
	caller = jh_caller_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	peer_stop(&p);
	call_peer(caller, &p.address, &c);
	assert_int_equal(c.result, JH_CALL_NOT_SENT);
	jh_caller_destroy(caller);
	close_loop(&loop);
	g_string_free(c.body, TRUE);
}

/* Guards against a new connection for each request. */
static void
connection_is_kept(void **state)
{
	struct peer p = {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				   "Keep-Alive: timeout=30\r\n\r\nok",
	    .keep = true};
	struct jh_caller *caller;
	struct call c = {0};
	uv_loop_t loop;

	uv_loop_init(&loop);
	caller = jh_caller_create(&loop);
	c.loop = &loop;
	c.body = g_string_new(NULL);
	peer_start(&p);
	call_peer(caller, &p.address, &c);
	call_peer(caller, &p.address, &c);
	assert_int_equal(c.result, JH_CALL_COMPLETE);
	assert_int_equal(jh_caller_opened(caller), 1);
	jh_caller_destroy(caller);
	close_loop(&loop);
	peer_stop(&p);
	g_string_free(c.body, TRUE);
}

/* A front with one handler, driven by a client thread. */
struct server {
	uv_loop_t loop;
	struct jh_front *front;
	struct sockaddr_in address;
	struct jh_visit *visit;
	unsigned int requests, gone;
	bool answer_at_once;
};

static void
on_gone(void *arg)
{
	struct server *s = arg;

	s->gone++;
	uv_stop(&s->loop);
}

static void
on_drained(void *arg)
{
}

static const struct jh_visit_ops visit_ops = {on_gone, on_drained};

static void
on_request(void *arg, struct jh_visit *v)
{
	struct server *s = arg;

	s->requests++;
	s->visit = v;
	jh_visit_watch(v, &visit_ops, s);
	if (s->answer_at_once)
		jh_visit_answer(v, 200, "OK", JH_STR(""), JH_STR("hello"));
}

static const struct jh_front_ops front_ops = {on_request};

static void
server_start(struct server *s, const struct jh_front_limits *limits)
{
	struct peer probe = {.answer = ""};

	/* A port that was free a moment ago. */
	peer_start(&probe);
	peer_stop(&probe);
	s->address = probe.address;
	uv_loop_init(&s->loop);
	s->front = jh_front_create(&s->loop, limits, &front_ops, s);
	assert_int_equal(jh_front_listen(s->front, &s->address), 0);
}

static void
server_stop(struct server *s)
{
	jh_front_destroy(s->front);
	close_loop(&s->loop);
}

struct client {
	struct sockaddr_in address;
	const char *request;
	bool leave; /* closes without reading */
	char answer[1024];
	uv_async_t done;
	uv_loop_t *loop;
};

static void *
visit(void *arg)
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
	if (c->leave) {
		g_usleep(50000);
		close(fd);
		return NULL;
	}
	while (n < sizeof(c->answer) - 1) {
		r = read(fd, c->answer + n, sizeof(c->answer) - 1 - n);
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
	pthread_create(&thread, NULL, visit, c);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	pthread_join(thread, NULL);
	uv_close((uv_handle_t *)&c->done, NULL);
}

/* Guards against work for a client that has left. */
static void
leaving_client_is_noticed(void **state)
{
	const struct jh_front_limits limits = {4096, 4096, 0, 0, 0};
	struct client c = {.request = "GET / HTTP/1.1\r\n\r\n", .leave = true};
	struct server s = {0};

	server_start(&s, &limits);
	serve(&s, &c);
	assert_int_equal(s.requests, 1);
	assert_int_equal(s.gone, 1);
	assert_int_equal(jh_front_active(s.front), 0);
	server_stop(&s);
}

/* Checks that the front refuses a request by itself. */
static void
expect_refusal(const struct jh_front_limits *limits, const char *request,
    const char *status)
{
	struct client c = {.request = request};
	struct server s = {0};

	server_start(&s, limits);
	serve(&s, &c);
	assert_int_equal(s.requests, 0);
	assert_non_null(strstr(c.answer, status));
	server_stop(&s);
}

/* Guards against a body that fills the memory. */
static void
large_body_is_refused(void **state)
{
	const struct jh_front_limits limits = {4096, 4, 0, 0, 0};

	expect_refusal(&limits,
	    "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde", "413");
}

/* Guards against a client that holds a connection with half a request. */
static void
slow_request_is_refused(void **state)
{
	const struct jh_front_limits limits = {4096, 4096, 300000, 0, 0};

	expect_refusal(&limits, "POST / HTTP/1.1\r\nContent-Le", "408");
}

/* Guards against clients that are cut off by a planned stop. */
static void
draining_front_still_answers(void **state)
{
	const struct jh_front_limits limits = {4096, 4096, 0, 0, 0};
	struct client c = {.request = "GET / HTTP/1.1\r\n\r\n"};
	struct server s = {.answer_at_once = true};

	server_start(&s, &limits);
	jh_front_drain(s.front);
	serve(&s, &c);
	assert_non_null(strstr(c.answer, "200 OK"));
	assert_non_null(strstr(c.answer, "Connection: close"));
	assert_non_null(strstr(c.answer, "hello"));
	server_stop(&s);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(reset_after_data_is_broken),
	    cmocka_unit_test(end_after_data_is_complete),
	    cmocka_unit_test(answer_of_another_is_skipped),
	    cmocka_unit_test(no_http_is_broken),
	    cmocka_unit_test(refused_connection_is_not_sent),
	    cmocka_unit_test(connection_is_kept),
	    cmocka_unit_test(leaving_client_is_noticed),
	    cmocka_unit_test(large_body_is_refused),
	    cmocka_unit_test(slow_request_is_refused),
	    cmocka_unit_test(draining_front_still_answers),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
