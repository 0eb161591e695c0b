#ifndef GATEWAY_DIALECT_H
#define GATEWAY_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

#include "net/head.h"

/*
 * How requests, the forwarded requests and the workers' answers are spelled in
 * HTTP. The gateway decides on the decoded values only.
 */

/* Parts of a prompt beyond this number count as one with the last. */
#define JH_ASK_MAX_PARTS 16

struct jh_part {
	uint64_t hash; /* of this part and all before it */
	uint32_t tokens;
};

/* A client's request. Strings are views into its head. */
struct jh_ask {
	struct jh_str id; /* of this attempt of the client; empty: none */
	struct jh_str host;
	struct jh_str path; /* without the query */
	struct jh_str key;
	struct jh_str model; /* empty: no model request */
	bool has_wait;
	uint64_t wait; /* the client leaves after this, microseconds */
	uint32_t prompt_tokens;
	uint32_t answer_tokens; /* at most */
	/*
	 * The prompt's parts in order. The last belongs to this request or its
	 * session, those before it are shared with other requests.
	 */
	struct jh_part part[JH_ASK_MAX_PARTS];
	size_t n_parts;
	bool resumes;
	uint64_t resume_after; /* id of the last event that the client has */
};

/* What the gateway adds to a request that it forwards. */
struct jh_offer {
	const char *worker; /* id */
	uint64_t wait; /* the worker stops after this, microseconds */
	const char *tenant; /* NULL: none */
	bool has_urgency;
	unsigned int urgency; /* 0 first, 9 last */
	const char *salt; /* of cached parts; NULL: none */
	uint64_t weights; /* version that the worker must have; 0: any */
	const struct sockaddr_in *source; /* fetch parts from; NULL: none */
	const struct sockaddr_in *save; /* store parts at; NULL: none */
	bool resumes;
	uint64_t resume_after;
};

/* The head of a worker's answer. */
struct jh_answer {
	bool other; /* answers another request */
	bool sealed; /* carries the worker's proof of its body */
	bool declined; /* states that the request was not run */
	bool encoded; /* the body is not as the worker made it */
	bool has_weights;
	uint64_t weights;
};

struct jh_dialect {
	/* Returns false, with a reason, when a value cannot be read. */
	bool (*read_ask)(const struct jh_head *head, struct jh_ask *out,
	    const char **reason);
	/* Appends the whole request head, with the blank line. */
	void (*write_offer)(GString *out, const struct jh_head *head,
	    const struct jh_offer *offer, size_t body_len);
	void (*read_answer)(const struct jh_head *head,
	    const struct jh_ask *ask, struct jh_answer *out);
	/* Appends the header lines of an answer that is passed on. */
	void (*write_answer)(GString *out, const struct jh_head *head);
	/* Appends the header lines of the gateway's own answer. */
	void (*write_refusal)(GString *out, const struct jh_ask *ask);
	/* The weights that an event tells of, if it does. */
	bool (*read_event_weights)(struct jh_str event, uint64_t *weights);
};

#endif
