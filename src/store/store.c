#include <stdio.h>
#include <string.h>

#include "http/client.h"
#include "store/internal.h"
#include "store/reply.h"
#include "store/store.h"

/* Longest body of a reply, in bytes; a longer one fails the call. */
#define MAX_REPLY_LEN (16 * 1024 * 1024)

struct jh_store {
	struct jh_http_client *http;
	struct sockaddr_in peer;
	int stopping; /* atomic */
};

struct store_call {
	enum store_op op;
	GString *body;
	bool too_long;
	struct jh_store_callback done;
};

static bool
key_is_valid(const char *key)
{
	char **parts = g_strsplit(key, "/", -1);
	bool ok = parts[0] != NULL;
	size_t i;

	for (i = 0; parts[i] != NULL; i++) {
		if (parts[i][0] == '\0' || strcmp(parts[i], ".") == 0 ||
		    strcmp(parts[i], "..") == 0)
			ok = false;
	}
	g_strfreev(parts);
	return ok && g_utf8_validate(key, -1, NULL);
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct store_call *c = arg;

	if (c->body->len + data.len > MAX_REPLY_LEN)
		c->too_long = true;
	else
		g_string_append_len(c->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct store_call *c = arg;
	struct store_parsed p;
	bool cut_short =
	    c->too_long || (result == JH_HTTP_TIMED_OUT && c->body->len > 0);

	if (c->too_long)
		result = JH_HTTP_CONNECTION_LOST;
	store_parse(&p, c->op, result, call, c->body);
	if (cut_short && (c->op == STORE_LIST || c->op == STORE_WATCH))
		p.reply.unusable = true;
	c->done.fn(c->done.arg, &p.reply);
	store_parsed_clear(&p);
	g_string_free(c->body, TRUE);
	g_free(c);
}

static bool
start_call(struct jh_store *s, enum store_op op, struct jh_http_call_spec *spec,
    struct jh_store_callback done)
{
	static const struct jh_http_call_ops ops = {NULL, on_data, on_done};
	struct store_call *c = g_new0(struct store_call, 1);
	struct jh_http_call *call;

	c->op = op;
	c->body = g_string_new(NULL);
	c->done = done;
	spec->peer = s->peer;
	/* A late copy of another reply could be taken for that of a write. */
	spec->own_connection = op == STORE_WRITE;
	spec->ops = &ops;
	spec->arg = c;
	call = jh_http_call_start(s->http, spec);
	if (call == NULL) {
		g_string_free(c->body, TRUE);
		g_free(c);
		return false;
	}
	jh_http_call_unref(call);
	return true;
}

static bool
start_object_call(struct jh_store *s, enum store_op op, const char *key,
    struct jh_http_call_spec *spec, struct jh_store_callback done)
{
	char *escaped, *path;
	bool ok;

	if (!key_is_valid(key))
		return false;
	escaped = g_uri_escape_string(key, "/", FALSE);
	path = g_strconcat("/v1/objects/", escaped, NULL);
	spec->path = path;
	ok = start_call(s, op, spec, done);
	g_free(path);
	g_free(escaped);
	return ok;
}

bool
jh_store_get(struct jh_store *s, const char *key, uint64_t deadline,
    struct jh_store_callback done)
{
	struct jh_http_call_spec spec = {.method = "GET", .deadline = deadline};

	return start_object_call(s, STORE_GET, key, &spec, done);
}

static bool
start_write(struct jh_store *s, const char *method, const char *key,
    struct jh_str value, uint64_t if_version, uint64_t deadline,
    struct jh_store_callback done)
{
	char condition[48];
	const char *headers[] = {condition, NULL};
	struct jh_http_call_spec spec = {.method = method,
	    .body = value,
	    .deadline = deadline,
	    .headers = if_version == JH_STORE_ANY ? NULL : headers};

	snprintf(condition, sizeof(condition), "If-Version: %" G_GUINT64_FORMAT,
	    if_version);
	return start_object_call(s, STORE_WRITE, key, &spec, done);
}

bool
jh_store_put(struct jh_store *s, const char *key, struct jh_str value,
    uint64_t if_version, uint64_t deadline, struct jh_store_callback done)
{
	return start_write(s, "PUT", key, value, if_version, deadline, done);
}

bool
jh_store_delete(struct jh_store *s, const char *key, uint64_t if_version,
    uint64_t deadline, struct jh_store_callback done)
{
	return start_write(
	    s, "DELETE", key, JH_STR(""), if_version, deadline, done);
}

bool
jh_store_list(struct jh_store *s, const char *prefixes, const char *after,
    unsigned int limit, uint64_t deadline, struct jh_store_callback done)
{
	struct jh_http_call_spec spec = {.method = "GET", .deadline = deadline};
	char *p = g_uri_escape_string(prefixes, NULL, FALSE);
	char *a = g_uri_escape_string(after, NULL, FALSE);
	char *path = g_strdup_printf(
	    "/v1/list?prefix=%s&after=%s&limit=%u", p, a, limit);
	bool ok;

	spec.path = path;
	ok = start_call(s, STORE_LIST, &spec, done);
	g_free(path);
	g_free(a);
	g_free(p);
	return ok;
}

bool
jh_store_watch(struct jh_store *s, const char *prefixes, uint64_t from,
    unsigned int wait_ms, uint64_t deadline, struct jh_store_callback done)
{
	struct jh_http_call_spec spec = {.method = "GET", .deadline = deadline};
	char *p = g_uri_escape_string(prefixes, NULL, FALSE);
	char *path = g_strdup_printf(
	    "/v1/watch?prefix=%s&from=%" G_GUINT64_FORMAT "&wait_ms=%u", p,
	    from, wait_ms);
	bool ok;

	spec.path = path;
	ok = start_call(s, STORE_WATCH, &spec, done);
	g_free(path);
	g_free(p);
	return ok;
}

struct jh_store *
jh_store_create(const struct sockaddr_in *peer, unsigned int max_calls)
{
	struct jh_store *s = g_new0(struct jh_store, 1);

	s->peer = *peer;
	s->http = jh_http_client_create("store", max_calls);
	return s;
}

bool
store_is_stopping(const struct jh_store *s)
{
	return g_atomic_int_get(&s->stopping) != 0;
}

void
jh_store_destroy(struct jh_store *s)
{
	if (s == NULL)
		return;
	g_atomic_int_set(&s->stopping, 1);
	jh_http_client_destroy(s->http);
	g_free(s);
}
