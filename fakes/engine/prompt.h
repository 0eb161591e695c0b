#ifndef FAKES_ENGINE_PROMPT_H
#define FAKES_ENGINE_PROMPT_H

#include "batch.h"

/* What a completion request asks for, with its hashed prompt. */
struct prompt_salts {
	const char *private_salt;
	const char *shared_salt; /* NULL: nothing is shared */
	uint64_t shared_messages;
};

/*
 * Parses a chat-completions body into a new sequence. Returns NULL and a
 * static message on a bad request.
 */
struct sequence *prompt_parse(struct jh_str body,
    const struct prompt_salts *salts, int64_t piece_tokens, const char **fault);

#endif
