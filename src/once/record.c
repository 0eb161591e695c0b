#include <string.h>

#include <jansson.h>

#include "once/record.h"

#define RECORD_FORMAT 1
#define NONCE_HEX_LEN 16
#define STATUS_MIN 100
#define STATUS_MAX 599

G_DEFINE_QUARK(jh_call_record_error_quark, jh_call_record_error)

static const char *const state_names[] = {"started", "done", "lost"};

/*
 * Whether to store the body as a JSON string: it must be UTF-8, and its
 * escapes must not take more space than base64 would.
 */
static bool
fits_as_text(struct jh_str s)
{
	size_t i, escape_bytes = 0;

	if (!g_utf8_validate(s.ptr, (gssize)s.len, NULL))
		return false;
	for (i = 0; i < s.len; i++) {
		if ((unsigned char)s.ptr[i] < 0x20)
			escape_bytes += 5;
		else if (s.ptr[i] == '"' || s.ptr[i] == '\\')
			escape_bytes += 1;
	}
	return escape_bytes <= s.len / 3;
}

static json_t *
encode_response(struct jh_call_response *a)
{
	struct jh_str type = jh_call_response_type(a);
	struct jh_str body = jh_call_response_body(a);
	json_t *o = json_object();
	char *b64;

	json_object_set_new(
	    o, "status", json_integer((json_int_t)jh_call_response_status(a)));
	json_object_set_new(o, "type", json_stringn(type.ptr, type.len));
	if (fits_as_text(body)) {
		json_object_set_new(
		    o, "body", json_stringn(body.ptr, body.len));
		return o;
	}
	b64 = g_base64_encode((const guchar *)body.ptr, body.len);
	json_object_set_new(o, "body_base64", json_string(b64));
	g_free(b64);
	return o;
}

char *
jh_record_encode(const struct jh_record *r, size_t *len)
{
	char hex[NONCE_HEX_LEN + 1];
	json_t *o = json_object();
	char *text, *out;

	json_object_set_new(o, "format", json_integer(RECORD_FORMAT));
	json_object_set_new(o, "state", json_string(state_names[r->state]));
	json_object_set_new(o, "agent", json_string(r->agent));
	g_snprintf(hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x",
	    r->nonce.incarnation);
	json_object_set_new(o, "incarnation", json_string(hex));
	g_snprintf(
	    hex, sizeof(hex), "%016" G_GINT64_MODIFIER "x", r->nonce.seq);
	json_object_set_new(o, "seq", json_string(hex));
	json_object_set_new(o, "request", json_string(r->request_hash));
	if (r->state == JH_RECORD_DONE)
		json_object_set_new(o, "answer",
		    r->response == NULL ? json_null()
					: encode_response(r->response));
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	out = g_strdup(text);
	free(text);
	*len = strlen(out);
	return out;
}

static bool
invalid(GError **err, const char *what)
{
	g_set_error(err, JH_CALL_RECORD_ERROR, JH_CALL_RECORD_ERROR_INVALID,
	    "%s", what);
	return false;
}

static bool
decode_hex(json_t *o, const char *name, uint64_t *out)
{
	const char *s = json_string_value(json_object_get(o, name));
	guint64 v = 0;

	if (s == NULL || strlen(s) != NONCE_HEX_LEN ||
	    !g_ascii_string_to_unsigned(s, 16, 0, G_MAXUINT64, &v, NULL))
		return false;
	*out = v;
	return true;
}

static bool
decode_text(json_t *o, const char *name, char **out)
{
	const char *s = json_string_value(json_object_get(o, name));

	if (s == NULL || s[0] == '\0')
		return false;
	*out = g_strdup(s);
	return true;
}

static bool
decode_state(json_t *o, enum jh_record_state *out)
{
	const char *s = json_string_value(json_object_get(o, "state"));
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (g_strcmp0(s, state_names[i]) == 0) {
			*out = (enum jh_record_state)i;
			return true;
		}
	}
	return false;
}

/*
 * g_base64_decode() skips characters outside the alphabet, so valid input is
 * recognised by encoding the result once more.
 */
static guchar *
decode_base64(const char *s, gsize *len)
{
	guchar *bytes = g_base64_decode(s, len);
	char *encoded = g_base64_encode(bytes, *len);
	bool same = strcmp(s, encoded) == 0;

	g_free(encoded);
	if (same)
		return bytes;
	g_free(bytes);
	return NULL;
}

static bool
decode_response(json_t *o, struct jh_call_response **out, GError **err)
{
	json_t *status = json_object_get(o, "status");
	json_t *type = json_object_get(o, "type");
	json_t *text = json_object_get(o, "body");
	const char *b64 = json_string_value(json_object_get(o, "body_base64"));
	guchar *bytes = NULL;
	struct jh_str body;

	if (!json_is_object(o) || json_object_size(o) != 3 ||
	    !json_is_integer(status) || !json_is_string(type) ||
	    (!json_is_string(text) && b64 == NULL))
		return invalid(err, "answer needs status, type and body");
	if (json_integer_value(status) < STATUS_MIN ||
	    json_integer_value(status) > STATUS_MAX)
		return invalid(err, "answer status is out of range");
	if (b64 != NULL) {
		bytes = decode_base64(b64, &body.len);
		if (bytes == NULL)
			return invalid(err, "answer body is not base64");
		body.ptr = (const char *)bytes;
	} else {
		body.ptr = json_string_value(text);
		body.len = json_string_length(text);
	}
	if (body.len > JH_LEDGER_RESPONSE_MAX) {
		g_free(bytes);
		return invalid(err, "answer body is over 512 KB");
	}
	*out = jh_call_response_create((unsigned int)json_integer_value(status),
	    (struct jh_str){json_string_value(type), json_string_length(type)},
	    body);
	g_free(bytes);
	return true;
}

static bool
decode_fields(json_t *o, struct jh_record *r, GError **err)
{
	json_t *response = json_object_get(o, "answer");

	if (!json_is_object(o))
		return invalid(err, "record is not a JSON object");
	if (json_integer_value(json_object_get(o, "format")) != RECORD_FORMAT)
		return invalid(err, "record format is not 1");
	if (!decode_state(o, &r->state))
		return invalid(err, "state is not started, done or lost");
	if (!decode_hex(o, "incarnation", &r->nonce.incarnation) ||
	    !decode_hex(o, "seq", &r->nonce.seq))
		return invalid(
		    err, "incarnation and seq must be 16 hexadecimal digits");
	if (!decode_text(o, "agent", &r->agent) ||
	    !decode_text(o, "request", &r->request_hash))
		return invalid(err, "agent or request is missing or empty");
	if ((response != NULL) != (r->state == JH_RECORD_DONE))
		return invalid(err, "answer does not agree with state");
	if (json_object_size(o) != (response == NULL ? 6 : 7))
		return invalid(err, "record has an unknown field");
	if (response == NULL || json_is_null(response))
		return true;
	return decode_response(response, &r->response, err);
}

bool
jh_record_decode(struct jh_str text, struct jh_record *r, GError **err)
{
	json_error_t json_fault;
	json_t *o;
	bool ok;

	memset(r, 0, sizeof(*r));
	o = json_loadb(text.ptr == NULL ? "" : text.ptr, text.len,
	    JSON_REJECT_DUPLICATES, &json_fault);
	if (o == NULL) {
		g_set_error(err, JH_CALL_RECORD_ERROR,
		    JH_CALL_RECORD_ERROR_INVALID, "record is not JSON: %s",
		    json_fault.text);
		return false;
	}
	ok = decode_fields(o, r, err);
	json_decref(o);
	if (!ok)
		jh_record_clear(r);
	return ok;
}

void
jh_record_clear(struct jh_record *r)
{
	g_free(r->agent);
	g_free(r->request_hash);
	jh_call_response_unref(r->response);
	memset(r, 0, sizeof(*r));
}
