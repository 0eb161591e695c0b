#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "answer_readers.h"
#include "raw_request.h"

/*
 * Answers to a request whose upload is still being written when the connection
 * ends.
 */

#define HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
#define UNFRAMED HEAD "\r\npart"
#define FRAMED HEAD "Content-Length: 5\r\n\r\nwhole"

/* A peer waits so long for what may not come. */
#define WAIT_MSEC 300

/* A peer's socket holds little, so that the rest stays with the caller. */
#define RECEIVE_BUFFER_LEN 65536

/* Parts of the upload, of which the peer takes some. */
#define ALL_SHARES 4

/* A reader stops for so long: its peer resets meanwhile. */
#define PAUSE_USEC 10000

/* Time from its answer to the end, if that comes later. */
#define LATER_USEC 20000

/* When the peer ends the connection, after its answer. */
enum moment { AT_ONCE, LATER, WHEN_READ };

struct ending {
	const char *answer;
	size_t taken; /* bytes of the upload that the peer reads before */
	enum moment moment;
	bool orderly; /* closes; otherwise resets */
	int answer_read; /* atomic: by the caller */
};

static void
await_reader(struct ending *e)
{
	unsigned int i;

	for (i = 0; i < WAIT_MSEC && !g_atomic_int_get(&e->answer_read); i++)
		g_usleep(1000);
}

static void
serve(void *arg, int fd)
{
	const int buffer = RECEIVE_BUFFER_LEN;
	struct ending *e = arg;
	char head[4096];

	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	if (!raw_request_read_head(fd, head, sizeof(head)) ||
	    !raw_request_skip(fd, e->taken))
		return;
	(void)!write(fd, e->answer, strlen(e->answer));
	if (e->moment == LATER)
		g_usleep(LATER_USEC);
	if (e->moment == WHEN_READ)
		await_reader(e);
	if (!e->orderly) {
		raw_request_reset(fd);
		return;
	}
	shutdown(fd, SHUT_WR);
	/* A close would reset the connection for what was not taken. */
	g_usleep(PAUSE_USEC);
}

static void
on_body(void *arg)
{
	struct ending *e = arg;

	g_atomic_int_set(&e->answer_read, 1);
}

/* Whether the caller takes the answer for complete, or not, as expected. */
static bool
is_taken_for(bool complete, const struct answer_reader *reader,
    size_t upload_len, struct ending e)
{
	struct raw_peer p = {.serve = serve, .arg = &e};
	struct answer_call c = {.upload_len = upload_len,
	    .pause_usec = e.moment == WHEN_READ ? PAUSE_USEC : 0,
	    .on_body = on_body,
	    .arg = &e};
	bool expected;

	raw_peer_start(&p);
	c.peer = p.address;
	reader->call(&c);
	raw_peer_stop(&p);
	g_string_free(c.body, TRUE);
	expected = c.complete == complete && !c.timed_out;
	if (!expected)
		print_message("%s, %zu of %zu bytes taken, %s, moment %d: %s\n",
		    reader->name, e.taken, upload_len,
		    e.orderly ? "closed" : "reset", (int)e.moment,
		    c.complete ? "complete" : "incomplete");
	return expected;
}

/* Of uploads; half of the last is more than the sockets of both sides hold. */
static const size_t lengths[] = {4, 20000, 300000, 3000000, 12000000};
#define LONG_UPLOADS (G_N_ELEMENTS(lengths) - 1)

/* What a reader takes such answers for. */
static void
check_reader(const struct answer_reader *reader, bool complete,
    size_t first_length, unsigned int first_share, unsigned int last_share,
    struct ending e)
{
	unsigned int share, wrong = 0;
	size_t i;

	for (i = first_length; i < G_N_ELEMENTS(lengths); i++) {
		for (share = first_share; share <= last_share; share++) {
			e.taken = lengths[i] / ALL_SHARES * share;
			for (e.moment = AT_ONCE; e.moment <= WHEN_READ;
			     e.moment++)
				wrong += !is_taken_for(
				    complete, reader, lengths[i], e);
		}
	}
	assert_int_equal(wrong, 0);
}

/* Guards against a part of an answer that its caller takes for all of it. */
static void
answer_that_is_reset_is_incomplete(void **state)
{
	static const char *const parts[] = {(UNFRAMED),
	    (HEAD "Content-Length: 9\r\n\r\npart"),
	    (HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
	    (HEAD "Transfer-Encoding: chunked\r\n\r\n9\r\npart")};
	unsigned int i;
	size_t k;

	for (i = 0; i < ANSWER_READERS; i++)
		for (k = 0; k < G_N_ELEMENTS(parts); k++)
			check_reader(&answer_readers[i], false, 0, 0,
			    ALL_SHARES, (struct ending){.answer = parts[k]});
}

/*
 * Guards against the same from a peer that ends, as if in order, before it has
 * taken the whole request.
 */
static void
answer_that_ends_before_its_request_is_incomplete(void **state)
{
	unsigned int i;

	for (i = 0; i < ANSWER_READERS; i++)
		check_reader(&answer_readers[i], false, LONG_UPLOADS, 0,
		    ALL_SHARES / 2,
		    (struct ending){.answer = UNFRAMED, .orderly = true});
}

/* Guards against the loss of answers that are whole. */
static void
answer_that_ends_after_its_request_is_complete(void **state)
{
	unsigned int i;

	for (i = 0; i < ANSWER_READERS; i++)
		check_reader(&answer_readers[i], true, 0, ALL_SHARES,
		    ALL_SHARES,
		    (struct ending){.answer = UNFRAMED, .orderly = true});
}

/* Guards against the same for an early answer with a length. */
static void
answer_with_a_length_is_complete_before_a_reset(void **state)
{
	unsigned int i;

	for (i = 0; i < ANSWER_READERS; i++)
		check_reader(&answer_readers[i], true, 0, 0, ALL_SHARES,
		    (struct ending){.answer = FRAMED});
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(answer_that_is_reset_is_incomplete),
	    cmocka_unit_test(answer_that_ends_before_its_request_is_incomplete),
	    cmocka_unit_test(answer_that_ends_after_its_request_is_complete),
	    cmocka_unit_test(answer_with_a_length_is_complete_before_a_reset),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
