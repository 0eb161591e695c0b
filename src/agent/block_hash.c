#include <pthread.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "agent/block_hash.h"

/* Bytes of text that the engine counts as one token. */
#define BYTES_PER_TOKEN 4

struct hasher {
	GArray *hashes;
	GString *block;
	uint64_t last_hash;
	size_t block_bytes;
};

void
agent_engine_salt(
    const struct agent *a, const char *salt, char out[JH_CACHE_SALT_LEN + 1])
{
	struct jh_prefix_scope scope = {.model = jh_str_from(a->engine.model),
	    .weights_version = jh_str_from(a->engine.weights),
	    .org = jh_str_from(salt)};

	jh_cache_salt(&scope, a->engine.incarnation, out);
}

/* Starts a new block, because a block never spans a change of salt. */
static void
start_section(struct hasher *h, const char *salt)
{
	g_string_truncate(h->block, 0);
	h->last_hash = XXH3_64bits_withSeed(salt, strlen(salt), h->last_hash);
}

static void
add_text(struct hasher *h, const char *text, size_t len)
{
	size_t n;

	while (len > 0) {
		n = MIN(len, h->block_bytes - h->block->len);
		g_string_append_len(h->block, text, (gssize)n);
		text += n;
		len -= n;
		if (h->block->len < h->block_bytes)
			return;
		h->last_hash = XXH3_64bits_withSeed(
		    h->block->str, h->block->len, h->last_hash);
		g_array_append_val(h->hashes, h->last_hash);
		g_string_truncate(h->block, 0);
	}
}

static void
add_string(struct hasher *h, const json_t *s)
{
	if (json_is_string(s))
		add_text(h, json_string_value(s), json_string_length(s));
	add_text(h, "\n", 1);
}

static void
add_messages(struct hasher *h, const json_t *messages, const char *salt,
    const char *shared_salt)
{
	/* Only the first message can be shared. */
	size_t first_private = shared_salt == NULL ? 0 : 1, i;
	json_t *msg;

	if (shared_salt != NULL)
		start_section(h, shared_salt);
	json_array_foreach(messages, i, msg)
	{
		if (i == first_private)
			start_section(h, salt);
		add_string(h, json_object_get(msg, "role"));
		add_string(h, json_object_get(msg, "content"));
	}
}

/*
 * Computes the engine's salts of the request and returns its block size in
 * tokens.
 */
static uint64_t
get_engine_salts(
    struct agent *a, const struct jh_job_headers *w, char *salt, char *shared)
{
	const char *private_salt = jh_job_headers_get(w, JH_JOB_SALT);
	const char *shared_salt = jh_job_headers_get(w, JH_JOB_SHARED_SALT);
	uint64_t tokens;

	pthread_mutex_lock(&a->lock);
	tokens = a->engine.block_tokens;
	agent_engine_salt(a, private_salt == NULL ? "" : private_salt, salt);
	if (shared_salt != NULL)
		agent_engine_salt(a, shared_salt, shared);
	pthread_mutex_unlock(&a->lock);
	return tokens;
}

GArray *
agent_block_hashes(
    struct agent *a, const struct jh_job_headers *w, struct jh_str body)
{
	char salt[JH_CACHE_SALT_LEN + 1], shared[JH_CACHE_SALT_LEN + 1] = "";
	struct hasher h = {0};
	json_t *root;

	h.block_bytes = get_engine_salts(a, w, salt, shared) * BYTES_PER_TOKEN;
	if (h.block_bytes == 0)
		return NULL;
	root = json_loadb(body.ptr, body.len, 0, NULL);
	if (root == NULL)
		return NULL;
	h.hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	h.block = g_string_sized_new(h.block_bytes);
	add_messages(&h, json_object_get(root, "messages"), salt,
	    shared[0] == '\0' ? NULL : shared);
	g_string_free(h.block, TRUE);
	json_decref(root);
	return h.hashes;
}
