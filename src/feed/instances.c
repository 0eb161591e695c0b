#include <jacinthhill/clock.h>

#include "feed/instances.h"

#define READ_INTERVAL_USEC (500 * JH_USEC_PER_MSEC)
#define READ_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)
#define BODY_LIMIT (16 << 20)

struct jh_instances {
	struct jh_http_client *client;
	struct sockaddr_in list;
	const struct jh_instances_ops *ops;
	void *arg;
	uint64_t next_read; /* ticking thread only */
	int reading; /* atomic */
	GString *body; /* client thread while reading */
};

static void
take_list(struct jh_instances *n)
{
	unsigned int faults;
	GPtrArray *list = jh_instances_parse(
	    (struct jh_str){n->body->str, n->body->len}, &faults);

	/* An empty or broken list would take away every backend server. */
	if (list != NULL && list->len > 0)
		n->ops->list(n->arg,
		    (const struct jh_instance *const *)list->pdata, list->len);
	if (list != NULL)
		g_ptr_array_free(list, TRUE);
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct jh_instances *n = arg;

	if (n->body->len + data.len <= BODY_LIMIT)
		g_string_append_len(n->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct jh_instances *n = arg;

	if (result == JH_HTTP_OK && jh_http_call_status(call) == 200)
		take_list(n);
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
	return n;
}

void
jh_instances_destroy(struct jh_instances *n)
{
	g_string_free(n->body, TRUE);
	g_free(n);
}

void
jh_instances_tick(struct jh_instances *n)
{
	struct jh_http_call_spec spec = {.peer = n->list,
	    .method = "GET",
	    .path = "/v1/instances",
	    .deadline = jh_now() + READ_TIMEOUT_USEC,
	    .ops = &read_ops,
	    .arg = n};
	struct jh_http_call *call;

	if (jh_now() < n->next_read ||
	    !g_atomic_int_compare_and_exchange(&n->reading, 0, 1))
		return;
	n->next_read = jh_now() + READ_INTERVAL_USEC;
	g_string_truncate(n->body, 0);
	call = jh_http_call_start(n->client, &spec);
	if (call == NULL)
		g_atomic_int_set(&n->reading, 0);
	jh_http_call_unref(call);
}
