#include <string.h>

#include <jansson.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "prompt.h"

/* Tokens are counted as so many bytes of text each. */
#define TOKEN_BYTES 4
#define DEFAULT_MAX_TOKENS 64

/* Splits the prompt into cache blocks and hashes them. */
struct hasher {
	GArray *chain; /* hashes of the complete blocks */
	GString *block; /* text of the block in progress */
	uint64_t last; /* hash of the last block or salt */
	uint64_t text; /* hash of the messages without salts */
	size_t block_bytes;
	uint64_t bytes; /* of all messages */
};

/* Starts a section with its own salt; a block never spans two sections. */
static void
start_section(struct hasher *h, const char *salt)
{
	g_string_truncate(h->block, 0);
	h->last = XXH3_64bits_withSeed(salt, strlen(salt), h->last);
}

static void
add_text(struct hasher *h, const char *text, size_t len)
{
	size_t n;

	h->bytes += len;
	h->text = XXH3_64bits_withSeed(text, len, h->text);
	while (len > 0) {
		n = MIN(len, h->block_bytes - h->block->len);
		g_string_append_len(h->block, text, (gssize)n);
		text += n;
		len -= n;
		if (h->block->len < h->block_bytes)
			break;
		h->last =
		    XXH3_64bits_withSeed(h->block->str, h->block->len, h->last);
		g_array_append_val(h->chain, h->last);
		g_string_truncate(h->block, 0);
	}
}

static bool
add_messages(
    struct hasher *h, const json_t *messages, const struct prompt_salts *salts)
{
	json_t *msg, *role, *content;
	size_t i;

	if (salts->shared_salt != NULL && salts->shared_messages > 0)
		start_section(h, salts->shared_salt);
	json_array_foreach(messages, i, msg)
	{
		if (salts->shared_salt == NULL ? i == 0
					       : i == salts->shared_messages)
			start_section(h, salts->private_salt);
		role = json_object_get(msg, "role");
		content = json_object_get(msg, "content");
		if (!json_is_string(role) || !json_is_string(content))
			return false;
		add_text(h, json_string_value(role), json_string_length(role));
		add_text(h, "\n", 1);
		add_text(
		    h, json_string_value(content), json_string_length(content));
		add_text(h, "\n", 1);
	}
	return true;
}

static void
read_resume(struct sequence *seq, const json_t *root)
{
	const json_t *resume = json_object_get(root, "resume");
	const json_t *text = json_object_get(resume, "text");

	seq->position =
	    (uint64_t)json_integer_value(json_object_get(resume, "position"));
	/* The text generated so far is prefilled again with the prompt. */
	seq->prompt_tokens += json_string_length(text) / TOKEN_BYTES;
}

struct sequence *
prompt_parse(struct jh_str body, const struct prompt_salts *salts,
    int64_t block_tokens, const char **errmsg)
{
	struct hasher h = {0};
	struct sequence *seq = NULL;
	json_t *root, *messages, *n;

	root = json_loadb(body.ptr, body.len, 0, NULL);
	messages = json_object_get(root, "messages");
	if (!json_is_array(messages)) {
		*errmsg = "messages must be an array";
		json_decref(root);
		return NULL;
	}
	h.chain = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	h.block_bytes = (size_t)block_tokens * TOKEN_BYTES;
	h.block = g_string_sized_new(h.block_bytes);
	if (!add_messages(&h, messages, salts)) {
		*errmsg = "each message needs role and content";
		g_array_free(h.chain, TRUE);
		goto out;
	}
	seq = g_new0(struct sequence, 1);
	seq->model =
	    g_strdup(json_string_value(json_object_get(root, "model")));
	seq->stream = json_is_true(json_object_get(root, "stream"));
	n = json_object_get(root, "max_tokens");
	seq->max_tokens = json_is_integer(n) && json_integer_value(n) > 0
			      ? (uint64_t)json_integer_value(n)
			      : DEFAULT_MAX_TOKENS;
	seq->prompt_tokens = (h.bytes + TOKEN_BYTES - 1) / TOKEN_BYTES;
	seq->seed = (uint32_t)h.text;
	seq->chain_len = h.chain->len;
	seq->chain = (uint64_t *)(void *)g_array_free(h.chain, FALSE);
	read_resume(seq, root);
	if (!seq->stream)
		seq->text = g_string_new(NULL);
out:
	g_string_free(h.block, TRUE);
	json_decref(root);
	return seq;
}
