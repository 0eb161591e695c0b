#ifndef TEST_RAW_WORKERS_H
#define TEST_RAW_WORKERS_H

#include <stdbool.h>

#include "platform_fixture.h"

/*
 * Workers with plain sockets, which can violate the protocol. They follow one
 * script: each request gets its next response, whichever worker it reaches.
 */
#define RAW_MAX_WORKERS 3

struct raw_response {
	const char *text;
	/* Sent when the head and so many bytes of the body have been read. */
	bool early;
	size_t taken;
	bool reset; /* then resets the connection */
	unsigned int reset_msec; /* after the text */
	bool keep; /* leaves the connection open for another request */
	const char *copy; /* sent copy_msec after the text; NULL: none */
	unsigned int copy_msec;
	/* Then repeated until the router closes; NULL: none. */
	const char *flood;
};

/* Bytes of a flood after which the router counts as not closing. */
#define RAW_MAX_FLOOD_LEN ((size_t)128 * 1024 * 1024)

/*
 * Starts a router and n workers, and waits until it knows them. plain: they
 * have no model, and the router sends them nothing of its own.
 */
struct platform *raw_workers_start(unsigned int n, bool plain);
/* The same for a router of this specification, without its workers. */
struct platform *raw_workers_start_with(
    unsigned int n, const struct platform_spec *spec);
void raw_workers_stop(void);
/* The same, as a tear-down of cmocka. */
int raw_workers_tear_down(void **state);

/*
 * Begins a script, of which it keeps a copy; a request beyond its last response
 * is reset.
 */
void raw_workers_script(const struct raw_response *responses, unsigned int n);
/* Sends the request a1, as platform_ask() does. Free with g_free(). */
char *raw_workers_ask(const char *path);
/* Requests that the workers have read since the script began. */
int raw_workers_requests(void);
/* The head of the last of them; free with g_free(). */
char *raw_workers_last_head(void);

/* The head of a stream's response, and events of it. */
#define RAW_FIELDS                             \
	"X-Jacinthhill-Attempt-Id: a1\r\n"     \
	"X-Jacinthhill-Weight-Versions: 1\r\n" \
	"X-Jacinthhill-Response-Seal: w.a1\r\n"
#define RAW_HEAD                                                               \
	"HTTP/1.1 200 OK\r\n" RAW_FIELDS "Content-Type: text/event-stream\r\n" \
	"\r\n"
#define RAW_EVENT(id) "id: " #id "\ndata: t" #id "\n\n"

/* Fields of the request a1 that the responses belong to. */
#define RAW_REQUEST_FIELDS                              \
	"Api-Key: k1\r\n"                               \
	"X-Jacinthhill-Model: m1\r\n"                   \
	"X-Jacinthhill-Token-Counts: 400,20\r\n"        \
	"X-Jacinthhill-Deadline-Milliseconds: 3000\r\n" \
	"X-Jacinthhill-Attempt-Id: a1\r\n"

#endif
