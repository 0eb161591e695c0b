#ifndef ENTRY_CHAT_REQUEST_H
#define ENTRY_CHAT_REQUEST_H

#include <jansson.h>

#include <jacinthhill/catalog.h>
#include <jacinthhill/prefix.h>

#include "entry/head_cache.h"
#include "http/body.h"
#include "work/job_parts.h"

/* A parsed chat-completions body. */
struct chat_request {
	json_t *root; /* first content is empty if head is set */
	struct entry_head *head; /* NULL: not in the cache */
	const char *model; /* owned by root */
	bool stream;
	uint32_t max_tokens;
	char *first_message_hash; /* BLAKE2b of its content, hexadecimal */
};

enum chat_parse_result { CHAT_OK, CHAT_BAD_JSON, CHAT_BAD_REQUEST };

/*
 * Parses a body. Takes the reference to head, the cached head that the body
 * starts with, or NULL. On failure *detail is a static sentence or NULL. Call
 * chat_request_clear() in any case.
 */
enum chat_parse_result chat_request_parse(struct chat_request *c,
    struct entry_head *head, struct jh_str body, const char **detail);
void chat_request_clear(struct chat_request *c);

/* Builds the level keys of the prompt; see jh_prefix_build(). */
void chat_request_prefix(const struct chat_request *c,
    const struct jh_prefix_scope *scope, size_t shared, struct jh_prefix *out);

/*
 * Builds the fingerprints of the prompt's messages but the last one. Each is
 * the level key of a prompt of that message alone, and so known wherever it
 * stands.
 */
void chat_request_parts(const struct chat_request *c,
    const struct jh_prefix_scope *scope, size_t shared,
    struct jh_job_parts *out);

/*
 * Returns the body that resumes a broken stream: the same request with the
 * position reached and the text so far. Free it with free().
 */
char *chat_request_resume_body(
    const struct jh_body *body, uint64_t position, struct jh_str text);

#endif
