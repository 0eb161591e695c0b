#ifndef AGENT_BLOCK_HASH_H
#define AGENT_BLOCK_HASH_H

#include <jacinthhill/prefix.h>

#include "agent/agent.h"
#include "work/job_headers.h"

/*
 * Derives the salt for this engine from an entry daemon's salt and the engine's
 * model, weights and incarnation. The caller holds a->lock.
 */
void agent_engine_salt(
    const struct agent *a, const char *salt, char out[JH_CACHE_SALT_LEN + 1]);

/*
 * Computes the chained hashes of the prompt's cache blocks as the engine does
 * (docs/engine-protocol.md). Returns an array of uint64_t, which the caller
 * frees, or NULL while the engine's block size is not known or if the body is
 * not JSON.
 */
GArray *agent_block_hashes(
    struct agent *a, const struct jh_job_headers *w, struct jh_str body);

#endif
