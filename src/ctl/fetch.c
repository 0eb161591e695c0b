#include "base/thread.h"
#include "ctl/fetch.h"
#include "http/client.h"

#define BODY_LIMIT (16 << 20)

/* One read that the tool waits for. */
struct reading {
	GString *body;
	pthread_mutex_t lock; /* guards ended */
	pthread_cond_t cond;
	bool ended;
	enum jh_http_result result;
	unsigned int http_status;
};

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct reading *r = arg;

	if (r->body->len + data.len <= BODY_LIMIT)
		g_string_append_len(r->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct reading *r = arg;

	pthread_mutex_lock(&r->lock);
	r->result = result;
	r->http_status = jh_http_call_status(call);
	r->ended = true;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

static const struct jh_http_call_ops ops = {.data = on_data, .done = on_done};

static void
read_body(struct ctl *c, const struct sockaddr_in *peer, const char *path,
    struct reading *r)
{
	struct jh_http_client *client = jh_http_client_create("fetch", 1);
	struct jh_http_call_spec spec = {.peer = *peer,
	    .method = "GET",
	    .path = path,
	    .deadline = ctl_deadline(c),
	    .ops = &ops,
	    .arg = r};
	struct jh_http_call *call = jh_http_call_start(client, &spec);

	pthread_mutex_lock(&r->lock);
	while (call != NULL && !r->ended)
		pthread_cond_wait(&r->cond, &r->lock);
	pthread_mutex_unlock(&r->lock);
	jh_http_call_unref(call);
	jh_http_client_destroy(client);
}

GString *
ctl_fetch(struct ctl *c, const struct sockaddr_in *peer, const char *path)
{
	struct reading r = {.body = g_string_new(NULL)};

	pthread_mutex_init(&r.lock, NULL);
	jh_cond_init(&r.cond);
	read_body(c, peer, path, &r);
	pthread_cond_destroy(&r.cond);
	pthread_mutex_destroy(&r.lock);
	if (r.ended && r.result == JH_HTTP_OK && r.http_status == 200)
		return r.body;
	g_string_free(r.body, TRUE);
	return NULL;
}
