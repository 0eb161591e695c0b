#include <string.h>

#include <sodium.h>

#include <jacinthhill/clock.h>

#include "work/job_headers.h"

struct jh_job_headers {
	char *field[JH_JOB_FIELDS];
};

static const char *const header_names[JH_JOB_FIELDS] = {
    [JH_JOB_REQUEST_ID] = "Jh-Request-Id",
    [JH_JOB_ORG] = "Jh-Org",
    [JH_JOB_CLASS] = "Jh-Class",
    [JH_JOB_RANK] = "Jh-Rank",
    [JH_JOB_BUDGET_MS] = "Jh-Budget-Ms",
    [JH_JOB_MAX_WAIT_MS] = "Jh-Max-Wait-Ms",
    [JH_JOB_PREFIX] = "Jh-Prefix",
    [JH_JOB_SALT] = "Jh-Salt",
    [JH_JOB_SHARED_SALT] = "Jh-Shared-Salt",
    [JH_JOB_DECODE] = "Jh-Decode",
    [JH_JOB_WEIGHT] = "Jh-Weight",
    [JH_JOB_RESUME] = "Jh-Resume",
    [JH_JOB_CRASHES] = "Jh-Crashes",
    [JH_JOB_FINGERPRINT] = "Jh-Fingerprint",
    [JH_JOB_PARTS] = "Jh-Parts",
    [JH_JOB_POSITION] = "Jh-Position",
    [JH_JOB_WIDTH] = "Jh-Width",
    [JH_JOB_CATALOG_REV] = "Jh-Catalog-Rev",
    [JH_JOB_ONCE] = "Jh-Once",
    [JH_JOB_FIRST_ATTEMPT] = "Jh-First-Attempt",
    [JH_JOB_KEY] = "Idempotency-Key",
};

/* The replay protection in Jh-Auth, covered by the MAC. */
struct auth_params {
	uint8_t nonce[JH_AUTH_NONCE_LEN];
	uint64_t sent_usec; /* wall clock */
};

struct jh_job_headers *
jh_job_headers_create(void)
{
	return g_new0(struct jh_job_headers, 1);
}

void
jh_job_headers_destroy(struct jh_job_headers *w)
{
	size_t i;

	if (w == NULL)
		return;
	for (i = 0; i < JH_JOB_FIELDS; i++)
		g_free(w->field[i]);
	g_free(w);
}

void
jh_job_headers_set(
    struct jh_job_headers *w, enum jh_job_field f, const char *value)
{
	g_free(w->field[f]);
	w->field[f] = g_strdup(value);
}

void
jh_job_headers_set_uint(
    struct jh_job_headers *w, enum jh_job_field f, uint64_t value)
{
	g_free(w->field[f]);
	w->field[f] = g_strdup_printf("%" G_GUINT64_FORMAT, value);
}

const char *
jh_job_headers_get(const struct jh_job_headers *w, enum jh_job_field f)
{
	return w->field[f];
}

uint64_t
jh_job_headers_get_uint(
    const struct jh_job_headers *w, enum jh_job_field f, uint64_t fallback)
{
	guint64 value;

	if (w->field[f] == NULL || !g_ascii_string_to_unsigned(w->field[f], 10,
				       0, G_MAXUINT64, &value, NULL))
		return fallback;
	return value;
}

static void
compute_mac(const struct jh_job_headers *w, const struct jh_auth_key *key,
    const char *method, const char *path, struct jh_str head,
    struct jh_str tail, const struct auth_params *auth,
    uint8_t out[JH_AUTH_MAC_LEN])
{
	struct jh_auth_mac *m = jh_auth_mac_create(key);
	uint64_t sent = GUINT64_TO_BE(auth->sent_usec);
	uint64_t body_len = GUINT64_TO_BE(head.len + tail.len);
	size_t i;

	jh_auth_mac_add_str(m, jh_str_from(method));
	jh_auth_mac_add_str(m, jh_str_from(path));
	for (i = 0; i < JH_JOB_FIELDS; i++)
		jh_auth_mac_add_str(m, jh_str_from(w->field[i]));
	jh_auth_mac_add(m, auth->nonce, sizeof(auth->nonce));
	jh_auth_mac_add(m, &sent, sizeof(sent));
	jh_auth_mac_add(m, &body_len, sizeof(body_len));
	jh_auth_mac_add(m, head.ptr, head.len);
	jh_auth_mac_add(m, tail.ptr, tail.len);
	jh_auth_mac_finish(m, out);
}

/* Formats "Jh-Auth: SENT:NONCE:MAC", nonce and MAC in hexadecimal. */
static char *
auth_header(const struct auth_params *auth, const uint8_t mac[JH_AUTH_MAC_LEN])
{
	char nonce[2 * JH_AUTH_NONCE_LEN + 1], hex[2 * JH_AUTH_MAC_LEN + 1];

	sodium_bin2hex(nonce, sizeof(nonce), auth->nonce, sizeof(auth->nonce));
	sodium_bin2hex(hex, sizeof(hex), mac, JH_AUTH_MAC_LEN);
	return g_strdup_printf("Jh-Auth: %" G_GUINT64_FORMAT ":%s:%s",
	    auth->sent_usec, nonce, hex);
}

static char **
format_headers(const struct jh_job_headers *w, const struct jh_auth_key *key,
    const char *method, const char *path, struct jh_str head,
    struct jh_str tail)
{
	GPtrArray *lines = g_ptr_array_new();
	uint8_t mac[JH_AUTH_MAC_LEN];
	struct auth_params auth;
	size_t i;

	jh_auth_random(auth.nonce, sizeof(auth.nonce));
	auth.sent_usec = jh_wall_now();
	compute_mac(w, key, method, path, head, tail, &auth, mac);
	for (i = 0; i < JH_JOB_FIELDS; i++) {
		if (w->field[i] != NULL)
			g_ptr_array_add(
			    lines, g_strdup_printf(
				       "%s: %s", header_names[i], w->field[i]));
	}
	g_ptr_array_add(lines, auth_header(&auth, mac));
	g_ptr_array_add(lines, NULL);
	return (char **)g_ptr_array_free(lines, FALSE);
}

char **
jh_job_headers_format(const struct jh_job_headers *w,
    const struct jh_auth_key *key, const char *method, const char *path,
    struct jh_str body)
{
	return format_headers(w, key, method, path, JH_STR(""), body);
}

char **
jh_job_headers_format_shared(const struct jh_job_headers *w,
    const struct jh_auth_key *key, const char *method, const char *path,
    const struct jh_body *body)
{
	return format_headers(
	    w, key, method, path, jh_body_head(body), jh_body_tail(body));
}

static bool
parse_hex(const char *text, uint8_t *out, size_t len)
{
	size_t got = 0;

	return strlen(text) == 2 * len &&
	       sodium_hex2bin(out, len, text, 2 * len, NULL, &got, NULL) == 0 &&
	       got == len;
}

static bool
parse_auth(
    const char *value, struct auth_params *auth, uint8_t mac[JH_AUTH_MAC_LEN])
{
	char **part;
	guint64 sent = 0;
	bool ok;

	if (value == NULL)
		return false;
	part = g_strsplit(value, ":", 3);
	ok = g_strv_length(part) == 3 &&
	     g_ascii_string_to_unsigned(
		 part[0], 10, 0, G_MAXUINT64, &sent, NULL) &&
	     parse_hex(part[1], auth->nonce, sizeof(auth->nonce)) &&
	     parse_hex(part[2], mac, JH_AUTH_MAC_LEN);
	auth->sent_usec = sent;
	g_strfreev(part);
	return ok;
}

struct jh_job_headers *
jh_job_headers_verify(
    const struct jh_http_req *req, const struct jh_auth_key *key)
{
	uint8_t received[JH_AUTH_MAC_LEN], mac[JH_AUTH_MAC_LEN];
	struct auth_params auth;
	struct jh_job_headers *w;
	size_t i;

	if (!parse_auth(jh_http_req_header(req, "Jh-Auth"), &auth, received) ||
	    !jh_auth_is_recent(auth.sent_usec))
		return NULL;
	w = jh_job_headers_create();
	for (i = 0; i < JH_JOB_FIELDS; i++)
		w->field[i] =
		    g_strdup(jh_http_req_header(req, header_names[i]));
	compute_mac(w, key, jh_http_req_method(req), jh_http_req_target(req),
	    JH_STR(""), jh_http_req_body(req), &auth, mac);
	if (!jh_auth_mac_eq(mac, received)) {
		jh_job_headers_destroy(w);
		return NULL;
	}
	return w;
}
