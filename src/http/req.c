#include <string.h>

#include "http/req.h"

static void
clear_header(gpointer p)
{
	struct http_field *h = p;

	g_free(h->name);
	g_free(h->value);
}

struct jh_http_req *
http_req_create(
    struct jh_http_server *s, struct MHD_Connection *conn, const char *target)
{
	struct jh_http_req *r = g_new0(struct jh_http_req, 1);

	r->refs = 1;
	r->server = s;
	r->conn = conn;
	r->target = g_strdup(target);
	r->body = g_string_new(NULL);
	r->out = g_string_new(NULL);
	r->fields = g_array_new(FALSE, FALSE, sizeof(struct http_field));
	g_array_set_clear_func(r->fields, clear_header);
	r->headers = g_array_new(FALSE, FALSE, sizeof(struct http_field));
	g_array_set_clear_func(r->headers, clear_header);
	r->attached = true;
	pthread_mutex_init(&r->lock, NULL);
	g_atomic_int_inc(&s->active);
	return r;
}

struct jh_http_req *
jh_http_req_ref(struct jh_http_req *r)
{
	g_atomic_int_inc(&r->refs);
	return r;
}

void
jh_http_req_unref(struct jh_http_req *r)
{
	if (!g_atomic_int_dec_and_test(&r->refs))
		return;
	if (r->ops != NULL && r->ops->released != NULL)
		r->ops->released(r->arg);
	g_free(r->method);
	g_free(r->path);
	g_free(r->target);
	g_string_free(r->body, TRUE);
	g_string_free(r->out, TRUE);
	g_array_free(r->headers, TRUE);
	g_array_free(r->fields, TRUE);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

static enum MHD_Result
copy_field(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct jh_http_req *r = cls;
	struct http_field f = {kind, g_strdup(name), g_strdup(value)};

	g_array_append_val(r->fields, f);
	return MHD_YES;
}

void
http_req_copy_fields(struct jh_http_req *r)
{
	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, copy_field, r);
	MHD_get_connection_values(
	    r->conn, MHD_GET_ARGUMENT_KIND, copy_field, r);
}

void
http_req_resume(struct jh_http_req *r)
{
	if (!r->suspended || !r->attached)
		return;
	r->suspended = false;
	MHD_resume_connection(r->conn);
}

void
http_req_notify_closed(struct jh_http_req *r)
{
	bool notify;

	pthread_mutex_lock(&r->lock);
	notify = r->handled && !r->closed_notified &&
		 !(r->ended && r->out_pos == r->out->len);
	r->closed_notified = true;
	pthread_mutex_unlock(&r->lock);
	if (notify && r->ops != NULL && r->ops->closed != NULL)
		r->ops->closed(r->arg);
}

const char *
jh_http_req_method(const struct jh_http_req *r)
{
	return r->method;
}

const char *
jh_http_req_path(const struct jh_http_req *r)
{
	return r->path;
}

static const char *
find_field(
    const struct jh_http_req *r, enum MHD_ValueKind kind, const char *name)
{
	const struct http_field *f;
	guint i;

	for (i = 0; i < r->fields->len; i++) {
		f = &g_array_index(r->fields, struct http_field, i);
		if (f->kind == kind && g_ascii_strcasecmp(f->name, name) == 0)
			return f->value;
	}
	return NULL;
}

const char *
jh_http_req_header(const struct jh_http_req *r, const char *name)
{
	return find_field(r, MHD_HEADER_KIND, name);
}

const char *
jh_http_req_query(const struct jh_http_req *r, const char *name)
{
	return find_field(r, MHD_GET_ARGUMENT_KIND, name);
}

const char *
jh_http_req_target(const struct jh_http_req *r)
{
	return r->target;
}

struct jh_str
jh_http_req_body(const struct jh_http_req *r)
{
	return (struct jh_str){r->body->str, r->body->len};
}

GBytes *
jh_http_req_take_body(struct jh_http_req *r)
{
	GBytes *b = g_string_free_to_bytes(r->body);

	r->body = g_string_new(NULL);
	return b;
}

void
jh_http_req_set_callbacks(
    struct jh_http_req *r, const struct jh_http_req_ops *ops, void *arg)
{
	r->ops = ops;
	r->arg = arg;
}

void
jh_http_req_add_header(
    struct jh_http_req *r, const char *name, const char *value)
{
	struct http_field h = {
	    MHD_HEADER_KIND, g_strdup(name), g_strdup(value)};

	pthread_mutex_lock(&r->lock);
	if (r->begun)
		clear_header(&h);
	else
		g_array_append_val(r->headers, h);
	pthread_mutex_unlock(&r->lock);
}

void
jh_http_req_begin(struct jh_http_req *r, unsigned int status)
{
	pthread_mutex_lock(&r->lock);
	if (!r->begun) {
		r->begun = true;
		r->status = status;
		http_req_resume(r);
	}
	pthread_mutex_unlock(&r->lock);
}

bool
jh_http_req_write(struct jh_http_req *r, const void *data, size_t len)
{
	bool room;

	pthread_mutex_lock(&r->lock);
	if (r->attached && !r->aborted && !r->ended) {
		g_string_append_len(r->out, data, (gssize)len);
		if (r->out->len - r->out_pos >= r->server->spec.buffer_limit)
			r->full = true;
		http_req_resume(r);
	}
	room = !r->full;
	pthread_mutex_unlock(&r->lock);
	return room;
}

void
jh_http_req_end(struct jh_http_req *r)
{
	pthread_mutex_lock(&r->lock);
	r->ended = true;
	http_req_resume(r);
	pthread_mutex_unlock(&r->lock);
}

void
jh_http_req_abort(struct jh_http_req *r)
{
	pthread_mutex_lock(&r->lock);
	if (!r->ended) {
		r->aborted = true;
		http_req_resume(r);
	}
	pthread_mutex_unlock(&r->lock);
}

void
jh_http_req_reply(struct jh_http_req *r, unsigned int status,
    const char *content_type, const void *data, size_t len)
{
	jh_http_req_add_header(r, "Content-Type", content_type);
	pthread_mutex_lock(&r->lock);
	if (!r->begun) {
		r->begun = true;
		r->status = status;
		g_string_append_len(r->out, data, (gssize)len);
		r->ended = true;
		http_req_resume(r);
	}
	pthread_mutex_unlock(&r->lock);
}
