#ifndef ENTRY_CHAT_REQUEST_H
#define ENTRY_CHAT_REQUEST_H

#include <jansson.h>

#include <jacinthhill/catalog.h>
#include <jacinthhill/prefix.h>

#include "entry/heads.h"
#include "http/body.h"

/* What the router needs of a chat-completions body. */
struct chat_request {
	json_t *root; /* with an empty first content if head is set */
	struct entry_head *head; /* NULL: the body's head is not known */
	const char *model; /* in root */
	bool stream;
	uint32_t max_tokens;
	char *first_message_hash; /* BLAKE2b, hexadecimal */
};

enum chat_fault { CHAT_OK, CHAT_BAD_JSON, CHAT_BAD_REQUEST };

/*
 * Takes the reference to the known head of the body, if there is one. On a
 * fault *detail is a static sentence; clear the request in any case.
 */
enum chat_fault chat_request_parse(struct chat_request *c,
    struct entry_head *head, struct jh_str body, const char **detail);
void chat_request_clear(struct chat_request *c);

/* Level keys of the prompt; see jh_prefix_build(). */
void chat_request_prefix(const struct chat_request *c,
    const struct jh_prefix_scope *scope, size_t shared, struct jh_prefix *out);

/*
 * The body of a request that goes on after a broken stream: the same request
 * with the position reached and the text so far. Free with free().
 */
char *chat_request_resumed(
    const struct jh_body *body, uint64_t position, struct jh_str text);

#endif
