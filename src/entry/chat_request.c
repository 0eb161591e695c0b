#include <string.h>

#include "base/auth.h"
#include "entry/chat_request.h"

/* Output tokens assumed for a request without max_tokens. */
#define DEFAULT_MAX_TOKENS 256
#define MAX_MAX_TOKENS 1000000

static enum chat_parse_result
check_messages(const json_t *messages, const char **detail)
{
	json_t *msg;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0) {
		*detail = "messages must be an array with at least one item.";
		return CHAT_BAD_REQUEST;
	}
	json_array_foreach(messages, i, msg)
	{
		if (json_is_string(json_object_get(msg, "role")) &&
		    json_is_string(json_object_get(msg, "content")))
			continue;
		*detail = "each message needs the strings role and content.";
		return CHAT_BAD_REQUEST;
	}
	return CHAT_OK;
}

static enum chat_parse_result
read_options(struct chat_request *c, const char **detail)
{
	json_t *n = json_object_get(c->root, "max_tokens");
	json_t *stream = json_object_get(c->root, "stream");

	c->max_tokens = DEFAULT_MAX_TOKENS;
	if (n != NULL) {
		if (!json_is_integer(n) || json_integer_value(n) < 1 ||
		    json_integer_value(n) > MAX_MAX_TOKENS) {
			*detail = "max_tokens must be a whole number from 1.";
			return CHAT_BAD_REQUEST;
		}
		c->max_tokens = (uint32_t)json_integer_value(n);
	}
	if (stream != NULL && !json_is_boolean(stream)) {
		*detail = "stream must be true or false.";
		return CHAT_BAD_REQUEST;
	}
	c->stream = json_is_true(stream);
	return CHAT_OK;
}

static void
hash_first_message(struct chat_request *c, const json_t *messages)
{
	json_t *content =
	    json_object_get(json_array_get(messages, 0), "content");

	if (c->head != NULL) {
		c->first_message_hash = g_strdup(c->head->hash);
		return;
	}
	c->first_message_hash = g_malloc(JH_AUTH_HASH_HEX_LEN + 1);
	jh_auth_hash_hex((struct jh_str){json_string_value(content),
			     json_string_length(content)},
	    c->first_message_hash);
}

enum chat_parse_result
chat_request_parse(struct chat_request *c, struct entry_head *head,
    struct jh_str body, const char **detail)
{
	json_t *messages;
	enum chat_parse_result result;

	memset(c, 0, sizeof(*c));
	*detail = NULL;
	c->head = head;
	c->root = head != NULL ? entry_head_parse(head, body)
			       : json_loadb(body.ptr, body.len,
				     JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(c->root))
		return CHAT_BAD_JSON;
	c->model = json_string_value(json_object_get(c->root, "model"));
	if (c->model == NULL) {
		*detail = "model must be a string.";
		return CHAT_BAD_REQUEST;
	}
	/* Added by the entry daemon itself when it resumes a stream. */
	if (json_object_get(c->root, "resume") != NULL) {
		*detail = "resume is not a field of this request.";
		return CHAT_BAD_REQUEST;
	}
	messages = json_object_get(c->root, "messages");
	result = check_messages(messages, detail);
	if (result == CHAT_OK)
		result = read_options(c, detail);
	if (result == CHAT_OK)
		hash_first_message(c, messages);
	return result;
}

void
chat_request_clear(struct chat_request *c)
{
	json_decref(c->root);
	g_free(c->first_message_hash);
	entry_head_unref(c->head);
	memset(c, 0, sizeof(*c));
}

/* Returns the messages, which c owns; free the list with g_free(). */
static struct jh_prefix_message *
list_messages(const struct chat_request *c, size_t *n)
{
	json_t *messages = json_object_get(c->root, "messages"), *msg, *s;
	struct jh_prefix_message *list;
	size_t i;

	*n = json_array_size(messages);
	list = g_new0(struct jh_prefix_message, *n);
	json_array_foreach(messages, i, msg)
	{
		s = json_object_get(msg, "role");
		list[i].role = (struct jh_str){
		    json_string_value(s), json_string_length(s)};
		s = json_object_get(msg, "content");
		list[i].content = (struct jh_str){
		    json_string_value(s), json_string_length(s)};
	}
	if (c->head != NULL)
		list[0].content = entry_head_content(c->head);
	return list;
}

void
chat_request_prefix(const struct chat_request *c,
    const struct jh_prefix_scope *scope, size_t shared, struct jh_prefix *out)
{
	struct jh_prefix_message *list;
	size_t n;

	list = list_messages(c, &n);
	jh_prefix_build(out, scope, list, n, shared);
	g_free(list);
}

void
chat_request_parts(const struct chat_request *c,
    const struct jh_prefix_scope *scope, size_t shared,
    struct jh_job_parts *out)
{
	struct jh_prefix_message *list;
	struct jh_prefix alone;
	size_t i, n;

	out->n = 0;
	list = list_messages(c, &n);
	for (i = 0; i + 1 < n && i < JH_PREFIX_MAX_LEVELS; i++) {
		jh_prefix_build(&alone, scope, &list[i], 1, i < shared ? 1 : 0);
		out->part[out->n++] =
		    jh_fingerprint_of_part(alone.level[0].hash);
	}
	g_free(list);
}

char *
chat_request_resume_body(
    const struct jh_body *body, uint64_t position, struct jh_str text)
{
	GString *whole = jh_body_join(body);
	json_t *root = json_loadb(whole->str, whole->len, 0, NULL);
	char *out;

	json_object_set_new(root, "resume",
	    json_pack("{s:I, s:s%}", "position", (json_int_t)position, "text",
		text.ptr, text.len));
	out = json_dumps(root, JSON_COMPACT);
	g_string_free(whole, TRUE);
	json_decref(root);
	return out;
}
