#ifndef AGENT_PIECES_H
#define AGENT_PIECES_H

#include <jacinthhill/prefix.h>

#include "agent/agent.h"
#include "work/work.h"

/*
 * The salt for this engine: an entry daemon's salt together with the engine's
 * model, weights and incarnation. Holds a->lock.
 */
void agent_engine_salt(
    const struct agent *a, const char *salt, char out[JH_CACHE_SALT_LEN + 1]);

/*
 * Chained hashes of the prompt's cache blocks as the engine computes them
 * (docs/engine-protocol.md). Returns an array of uint64_t, or NULL while the
 * engine's block size is not known or the body is not a chat request.
 */
GArray *agent_pieces(
    struct agent *a, const struct jh_work *w, struct jh_str body);

#endif
