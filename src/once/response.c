#include <string.h>

#include <glib.h>

#include <jacinthhill/ledger.h>

#define TYPE_MAX 256 /* bytes; no registered content type is longer */

struct jh_call_response {
	int refs; /* atomic */
	unsigned int status;
	char *type;
	char *body;
	size_t type_len;
	size_t body_len;
};

struct jh_call_response *
jh_call_response_create(
    unsigned int status, struct jh_str type, struct jh_str body)
{
	struct jh_call_response *a = g_new0(struct jh_call_response, 1);

	a->refs = 1;
	a->status = status;
	/*
	 * The response is stored in a JSON record, so the type must be valid
	 * UTF-8, and an object of the store holds at most 1 MB.
	 */
	type.len = MIN(type.len, TYPE_MAX);
	a->type = g_utf8_make_valid(
	    type.ptr == NULL ? "" : type.ptr, (gssize)type.len);
	a->type_len = strlen(a->type);
	a->body = g_malloc(body.len + 1);
	if (body.len > 0)
		memcpy(a->body, body.ptr, body.len);
	a->body[body.len] = '\0';
	a->body_len = body.len;
	return a;
}

struct jh_call_response *
jh_call_response_ref(struct jh_call_response *a)
{
	if (a != NULL)
		g_atomic_int_inc(&a->refs);
	return a;
}

void
jh_call_response_unref(struct jh_call_response *a)
{
	if (a == NULL || !g_atomic_int_dec_and_test(&a->refs))
		return;
	g_free(a->type);
	g_free(a->body);
	g_free(a);
}

unsigned int
jh_call_response_status(const struct jh_call_response *a)
{
	return a->status;
}

struct jh_str
jh_call_response_type(const struct jh_call_response *a)
{
	return (struct jh_str){a->type, a->type_len};
}

struct jh_str
jh_call_response_body(const struct jh_call_response *a)
{
	return (struct jh_str){a->body, a->body_len};
}
