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
 * Answers without a length, to a request whose upload is still being written.
 * Only an orderly end of the connection completes them.
 */

#define ANSWER "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"

/* A peer waits so long for what may not come. */
#define WAIT_MSEC 300

/* A reader stops for so long: its peer resets meanwhile. */
#define PAUSE_USEC 10000

/* When the peer ends the connection, after its answer. */
enum moment { AT_ONCE, LATER, WHEN_READ };

struct ending {
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
	struct ending *e = arg;
	char head[4096];

	if (!raw_request_read_head(fd, head, sizeof(head)) ||
	    !raw_request_skip(fd, e->taken))
		return;
	(void)!write(fd, ANSWER, strlen(ANSWER));
	if (e->moment == LATER)
		g_usleep(20000);
	if (e->moment == WHEN_READ)
		await_reader(e);
	if (e->orderly)
		shutdown(fd, SHUT_WR);
	else
		raw_request_reset(fd);
}

static void
on_body(void *arg)
{
	struct ending *e = arg;

	g_atomic_int_set(&e->answer_read, 1);
}

/* Returns whether the caller noticed that the answer is incomplete. */
static bool
is_noticed(const struct answer_reader *reader, size_t upload_len, size_t taken,
    enum moment moment)
{
	struct ending e = {.taken = taken, .moment = moment};
	struct raw_peer p = {.serve = serve, .arg = &e};
	struct answer_call c = {.upload_len = upload_len,
	    .pause_usec = moment == WHEN_READ ? PAUSE_USEC : 0,
	    .on_body = on_body,
	    .arg = &e};
	bool noticed;

	raw_peer_start(&p);
	c.peer = p.address;
	reader->call(&c);
	raw_peer_stop(&p);
	noticed = !c.complete && !c.timed_out;
	if (!noticed)
		print_message("%s, %zu of %zu bytes taken, moment %d: %s\n",
		    reader->name, taken, upload_len, (int)moment,
		    c.complete ? "complete" : "timed out");
	g_string_free(c.body, TRUE);
	return noticed;
}

/* Guards against a part of an answer that its caller takes for all of it. */
static void
answer_that_is_reset_is_incomplete(void **state)
{
	static const size_t uploads[] = {2, 20000, 300000, 3000000, 12000000};
	size_t i, taken, unnoticed = 0;
	unsigned int share, reader;
	enum moment m;

	for (i = 0; i < G_N_ELEMENTS(uploads); i++) {
		for (share = 0; share <= 4; share++) {
			taken = uploads[i] / 4 * share;
			for (m = AT_ONCE; m <= WHEN_READ; m++)
				for (reader = 0; reader < ANSWER_READERS;
				     reader++)
					unnoticed +=
					    !is_noticed(&answer_readers[reader],
						uploads[i], taken, m);
		}
	}
	assert_int_equal(unnoticed, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(answer_that_is_reset_is_incomplete),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
