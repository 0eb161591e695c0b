#include <string.h>

#include <microhttpd.h>

#include "state.h"

/* Whether If-Version permits the write; sets *bad if it is malformed. */
static bool
condition_holds(struct jh_http_req *req, const struct fake_object *o, bool *bad)
{
	const char *text = jh_http_req_header(req, "If-Version");
	guint64 version;

	if (text == NULL)
		return true;
	if (!g_ascii_string_to_unsigned(
		text, 10, 0, G_MAXUINT64, &version, NULL)) {
		*bad = true;
		return false;
	}
	return version == (o == NULL ? 0 : o->version);
}

static void
reply_conflict(struct jh_http_req *req, const struct fake_object *o)
{
	fake_add_number(req, "Version", o == NULL ? 0 : o->version);
	jh_http_req_reply(req, MHD_HTTP_CONFLICT, "application/octet-stream",
	    o == NULL ? "" : o->value, o == NULL ? 0 : o->len);
}

static bool
loses_response(struct fake_store *s)
{
	if (s->responses_to_lose > 0) {
		s->responses_to_lose--;
		return true;
	}
	return g_rand_double(s->rand) < s->response_loss_rate;
}

static void
apply(struct fake_store *s, struct jh_http_req *req, const char *key,
    struct jh_str body)
{
	bool put = strcmp(jh_http_req_method(req), "PUT") == 0;
	uint64_t version;

	version =
	    fake_table_set(s->table, key, put ? body.ptr : NULL, body.len);
	if (loses_response(s)) {
		s->n_lost++;
		jh_http_req_abort(req);
		return;
	}
	fake_add_number(req, "Version", version);
	fake_reply_text(req, MHD_HTTP_OK, "");
}

void
fake_serve_write(struct fake_store *s, struct jh_http_req *req)
{
	const char *key = fake_req_key(req);
	struct jh_str body = jh_http_req_body(req);
	const struct fake_object *o;
	bool bad = false;

	if (key == NULL || !g_utf8_validate_len(body.ptr, body.len, NULL)) {
		fake_reply_text(req, MHD_HTTP_BAD_REQUEST, "bad key or value");
		return;
	}
	o = fake_table_get(s->table, key);
	if (!condition_holds(req, o, &bad)) {
		if (bad)
			fake_reply_text(
			    req, MHD_HTTP_BAD_REQUEST, "bad If-Version");
		else
			reply_conflict(req, o);
		return;
	}
	apply(s, req, key, body);
}
