#ifndef TEST_ANSWER_READERS_H
#define TEST_ANSWER_READERS_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <netinet/in.h>

/* A request with a body of zeros, and what its caller learns of the answer. */
struct answer_call {
	struct sockaddr_in peer;
	size_t upload_len; /* 0: a GET without a body */
	/* It follows an answered GET on the same connection. */
	bool second;
	/* The reader stops so long after the first piece; it goes on writing */
	uint64_t pause_usec;
	/* Called with each piece of the answer's body; may be NULL. */
	void (*on_body)(void *arg);
	void *arg;
	bool complete; /* the caller takes it for an answer */
	bool timed_out; /* after ANSWER_TIMEOUT_USEC */
	unsigned int status; /* of its last head; 0: none */
	GString *body;
};

#define ANSWER_TIMEOUT_USEC (10 * JH_USEC_PER_SEC)

/* An HTTP client of the processes. */
struct answer_reader {
	const char *name;
	/* Fills the last members in; body is to be freed. */
	void (*call)(struct answer_call *c);
};

/* Of the router, and of the daemons and tools. */
enum { ANSWER_ROUTER, ANSWER_DAEMONS, ANSWER_READERS };
extern const struct answer_reader answer_readers[ANSWER_READERS];

/* When an answer is sent. */
enum answer_moment {
	ANSWER_FIRST, /* of its connection */
	ANSWER_SECOND, /* after another answer on its connection */
	ANSWER_AFTER_INFORMATION /* after a head with status 100 */
};

/*
 * Whether the reader accepts an answer of this text, and of more that follows a
 * moment later (NULL: nothing), or rejects it without waiting for the end of
 * the connection. Prints what it did instead.
 */
bool answer_is_taken_for(bool accepted, const struct answer_reader *reader,
    const GString *text, const char *more);
/* The same at that moment; its first bytes come a moment before the others. */
bool answer_in_pieces_is_taken_for(bool accepted,
    const struct answer_reader *reader, const GString *text, size_t first,
    enum answer_moment moment);

#endif
