#include "base/thread.h"
#include "ctl/fetch.h"
#include "http/client.h"

#define MAX_BODY_BYTES (16 << 20)

/* The state of one HTTP request; the callbacks run on the client's thread. */
struct fetch {
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
	struct fetch *f = arg;

	if (f->body->len + data.len <= MAX_BODY_BYTES)
		g_string_append_len(f->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct fetch *f = arg;

	pthread_mutex_lock(&f->lock);
	f->result = result;
	f->http_status = jh_http_call_status(call);
	f->ended = true;
	pthread_cond_signal(&f->cond);
	pthread_mutex_unlock(&f->lock);
}

static const struct jh_http_call_ops ops = {.data = on_data, .done = on_done};

static void
run_fetch(struct ctl *c, const struct sockaddr_in *peer, const char *path,
    struct fetch *f)
{
	struct jh_http_client *client = jh_http_client_create("fetch", 1);
	struct jh_http_call_spec spec = {.peer = *peer,
	    .method = "GET",
	    .path = path,
	    .deadline = ctl_deadline(c),
	    .ops = &ops,
	    .arg = f};
	struct jh_http_call *call = jh_http_call_start(client, &spec);

	pthread_mutex_lock(&f->lock);
	while (call != NULL && !f->ended)
		pthread_cond_wait(&f->cond, &f->lock);
	pthread_mutex_unlock(&f->lock);
	jh_http_call_unref(call);
	jh_http_client_destroy(client);
}

GString *
ctl_fetch(struct ctl *c, const struct sockaddr_in *peer, const char *path)
{
	struct fetch f = {.body = g_string_new(NULL)};

	pthread_mutex_init(&f.lock, NULL);
	jh_cond_init(&f.cond);
	run_fetch(c, peer, path, &f);
	pthread_cond_destroy(&f.cond);
	pthread_mutex_destroy(&f.lock);
	if (f.ended && f.result == JH_HTTP_OK && f.http_status == 200)
		return f.body;
	g_string_free(f.body, TRUE);
	return NULL;
}
