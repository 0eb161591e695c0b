#ifndef GATEWAY_HTTP_CODEC_H
#define GATEWAY_HTTP_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

#include "net/head.h"

/*
 * Encodes and decodes HTTP headers: those of clients' requests, of requests to
 * workers and of responses. The gateway works on the decoded values only.
 */

/* Parts of a prompt beyond this number are merged with the last. */
#define JH_PROMPT_MAX_PARTS 16

/* Shared parts of a prompt that are known by their ids; more are ignored. */
#define JH_PROMPT_MAX_SHARED_IDS 32

struct jh_prompt_part {
	uint64_t hash; /* of the prompt up to the end of this part */
	uint32_t tokens;
};

/* A client's request. Strings point into its head. */
struct jh_client_request {
	struct jh_str id; /* of the client's attempt; empty: none */
	struct jh_str host;
	struct jh_str path; /* without the query */
	struct jh_str key; /* API key */
	struct jh_str model; /* empty: not a model request */
	bool has_time_limit;
	uint64_t time_limit; /* time limit of the client, microseconds */
	bool has_token_counts; /* else they are 0 */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* at most */
	/*
	 * The prompt's parts in order. The last one belongs to this request or
	 * its session alone; those before it are shared with other requests.
	 */
	struct jh_prompt_part part[JH_PROMPT_MAX_PARTS];
	size_t n_parts;
	/* Hashes of the ids of all parts but the last. */
	uint64_t shared_id[JH_PROMPT_MAX_SHARED_IDS];
	size_t n_shared_ids;
	bool resumes; /* continues a stream */
	uint64_t resume_after; /* id of the last event that the client has */
	bool invalid_last_event; /* it names one, but not by a number */
};

/* What the gateway adds to a request that it sends to a worker. */
struct jh_worker_request {
	const char *worker; /* id */
	uint64_t time_limit; /* time limit for the worker, microseconds */
	const char *org; /* NULL: none */
	bool has_urgency;
	unsigned int urgency; /* 0 is the most urgent, 9 the least */
	const char *salt; /* of the prefix cache; NULL: none */
	uint64_t weights; /* version required of the worker; 0: any */
	/* Where the worker fetches the prefix and saves it; NULL: nowhere. */
	const struct sockaddr_in *source;
	const struct sockaddr_in *save;
	bool resumes;
	uint64_t resume_after;
};

/* The head of a worker's response. */
struct jh_worker_response {
	bool unidentified; /* it does not name the request */
	bool stray; /* belongs to another request */
	bool sealed; /* carries the worker's seal of its body */
	bool declined; /* the request was not run */
	bool transformed; /* the body is not as the worker sent it */
	bool has_weights;
	uint64_t weights;
	/*
	 * Requests a second that the worker takes from all processes together.
	 * A value that is no decimal number counts as none.
	 */
	bool has_rate_limit, invalid_rate_limit;
	double rate_limit;
	bool leaving; /* the worker says that it leaves */
	/* The worker wants no requests for that long; microseconds. */
	bool has_refusal, invalid_refusal;
	uint64_t refusal;
	struct jh_str instance; /* id of the responder; valid with the head */
};

struct jh_http_codec {
	/* Returns false and sets *reason when a value cannot be parsed. */
	bool (*read_client_request)(const struct jh_head *head,
	    struct jh_client_request *out, const char **reason);
	/* Appends the whole request head with the empty line. */
	void (*write_worker_request)(GString *out, const struct jh_head *head,
	    const struct jh_worker_request *request, size_t body_len);
	void (*read_worker_response)(const struct jh_head *head,
	    const struct jh_client_request *request,
	    struct jh_worker_response *out);
	/* Appends the header lines of a worker's response for the client. */
	void (*write_response_fields)(GString *out, const struct jh_head *head);
	/* Appends the header lines of a response of the gateway's own. */
	void (*write_error_fields)(
	    GString *out, const struct jh_client_request *request);
	/* Returns whether an event names the version of the weights. */
	bool (*read_event_weights)(struct jh_str event, uint64_t *weights);
};

#endif
