#include <string.h>

#include <jacinthhill/clock.h>

#include "feed/instances.h"
#include "feed/poll_timer.h"

#define MIN_POLL_INTERVAL_USEC (500 * JH_USEC_PER_MSEC)
#define READ_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)
#define BODY_LIMIT_BYTES (16 << 20)
#define ETAG_LIMIT_BYTES 200 /* a longer one is not kept */

struct jh_instances {
	struct jh_http_client *client;
	struct sockaddr_in list;
	const struct jh_instances_ops *ops;
	void *arg;
	struct poll_timer *timer; /* used on the ticking thread only */
	int reading; /* atomic */
	int succeeded; /* atomic: a read has succeeded since the last tick */
	GString *body; /* of the reply; the client thread's while reading */
	char *etag; /* of the last list, or NULL; as body */
};

/* Keeps the ETag of a list that was accepted. */
static void
keep_etag(struct jh_instances *n, struct jh_http_call *call)
{
	const char *etag = jh_http_call_header(call, "ETag");

	g_free(n->etag);
	n->etag = etag != NULL && strlen(etag) <= ETAG_LIMIT_BYTES
		      ? g_strdup(etag)
		      : NULL;
}

static void
accept_list(struct jh_instances *n, struct jh_http_call *call)
{
	unsigned int malformed;
	GPtrArray *list = jh_instances_parse(
	    (struct jh_str){n->body->str, n->body->len}, &malformed);

	/* An empty or malformed list would remove every backend server. */
	if (list != NULL && list->len > 0) {
		keep_etag(n, call);
		g_atomic_int_set(&n->succeeded, 1);
		n->ops->list(n->arg,
		    (const struct jh_instance *const *)list->pdata, list->len);
	}
	if (list != NULL)
		g_ptr_array_free(list, TRUE);
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct jh_instances *n = arg;

	if (n->body->len + data.len <= BODY_LIMIT_BYTES)
		g_string_append_len(n->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct jh_instances *n = arg;

	if (result == JH_HTTP_OK && jh_http_call_status(call) == 200)
		accept_list(n, call);
	if (result == JH_HTTP_OK && jh_http_call_status(call) == 304) {
		g_atomic_int_set(&n->succeeded, 1);
		if (n->ops->unchanged != NULL)
			n->ops->unchanged(n->arg);
	}
	g_atomic_int_set(&n->reading, 0);
}

static const struct jh_http_call_ops read_ops = {
    .data = on_data, .done = on_done};

struct jh_instances *
jh_instances_create(struct jh_http_client *client,
    const struct sockaddr_in *list, const struct jh_instances_ops *ops,
    void *arg)
{
	struct jh_instances *n = g_new0(struct jh_instances, 1);

	n->client = client;
	n->list = *list;
	n->ops = ops;
	n->arg = arg;
	n->body = g_string_new(NULL);
	n->timer = poll_timer_create(
	    MIN_POLL_INTERVAL_USEC, MIN_POLL_INTERVAL_USEC, 0);
	return n;
}

void
jh_instances_destroy(struct jh_instances *n)
{
	poll_timer_destroy(n->timer);
	g_string_free(n->body, TRUE);
	g_free(n->etag);
	g_free(n);
}

void
jh_instances_set_max_interval(
    struct jh_instances *n, uint64_t max_interval, guint32 seed)
{
	poll_timer_destroy(n->timer);
	n->timer =
	    poll_timer_create(MIN_POLL_INTERVAL_USEC, max_interval, seed);
}

void
jh_instances_read_now(struct jh_instances *n)
{
	poll_timer_reset(n->timer);
}

static struct jh_http_call *
start_read(struct jh_instances *n)
{
	char *line = n->etag == NULL
			 ? NULL
			 : g_strdup_printf("If-None-Match: %s", n->etag);
	const char *const headers[] = {line, NULL};
	struct jh_http_call_spec spec = {.peer = n->list,
	    .method = "GET",
	    .path = "/v1/instances",
	    .headers = headers,
	    .deadline = jh_now() + READ_TIMEOUT_USEC,
	    .ops = &read_ops,
	    .arg = n};
	struct jh_http_call *call = jh_http_call_start(n->client, &spec);

	g_free(line);
	return call;
}

void
jh_instances_tick(struct jh_instances *n)
{
	struct jh_http_call *call;

	if (g_atomic_int_get(&n->reading))
		return;
	if (g_atomic_int_compare_and_exchange(&n->succeeded, 1, 0))
		poll_timer_succeeded(n->timer);
	if (!poll_timer_due(n->timer, jh_now()))
		return;
	g_atomic_int_set(&n->reading, 1);
	g_string_truncate(n->body, 0);
	call = start_read(n);
	if (call == NULL)
		g_atomic_int_set(&n->reading, 0);
	jh_http_call_unref(call);
}
