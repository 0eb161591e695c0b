#ifndef FAKES_ENGINE_PROMPT_H
#define FAKES_ENGINE_PROMPT_H

#include "batch.h"

/* Cache salts of a request, from its headers. */
struct prompt_salts {
	const char *private_salt;
	const char *shared_salt; /* NULL: no messages are shared */
	uint64_t shared_messages; /* leading messages with the shared salt */
};

/*
 * Parses the body of a chat completion into a new sequence, with its hashed
 * prompt. Returns NULL and a static message for a bad request.
 */
struct sequence *prompt_parse(struct jh_str body,
    const struct prompt_salts *salts, int64_t block_tokens,
    const char **errmsg);

#endif
