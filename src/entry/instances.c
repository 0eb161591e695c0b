#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "entry/instances.h"

#define READ_INTERVAL_USEC (500 * JH_USEC_PER_MSEC)
#define READ_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)
#define BODY_LIMIT (16 << 20)

struct entry_instances {
	struct entry *entry;
	uint64_t next_read; /* control thread only */
	int reading; /* atomic */
	GString *body; /* client thread while reading */
};

static char **
read_strings(const json_t *list)
{
	GPtrArray *out = g_ptr_array_new();
	json_t *item;
	size_t i;

	json_array_foreach(list, i, item)
	{
		if (json_is_string(item))
			g_ptr_array_add(out, g_strdup(json_string_value(item)));
	}
	g_ptr_array_add(out, NULL);
	return (char **)g_ptr_array_free(out, FALSE);
}

static const char *
member(const json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	return text == NULL ? "" : text;
}

/* Returns NULL for a row that cannot be used. */
static struct worker_row *
read_row(const json_t *row)
{
	struct worker_row *r = g_new0(struct worker_row, 1);
	const char *service = member(row, "service");

	r->instance = g_strdup(member(row, "id"));
	r->zone = g_strdup(member(row, "availability_zone"));
	r->region = g_strdup(member(row, "region"));
	r->models = read_strings(json_object_get(row, "models"));
	r->service = service[0] == '\0' ? NULL : g_strdup(service);
	r->entry = strcmp(member(row, "role"), "entry") == 0;
	r->leaving = json_is_true(json_object_get(row, "leaving"));
	if (r->instance[0] != '\0' &&
	    jh_address_parse(member(row, "address"), &r->address) &&
	    jh_address_parse(member(row, "rpc_address"), &r->rpc_address))
		return r;
	worker_row_free(r);
	return NULL;
}

static void
take_list(struct entry_instances *n)
{
	json_t *root = json_loadb(n->body->str, n->body->len, 0, NULL), *item;
	struct worker_row *r;
	GPtrArray *rows;
	size_t i;

	/* An empty or broken list would take away every backend server. */
	if (json_array_size(root) > 0) {
		rows = g_ptr_array_new_with_free_func(worker_row_free);
		json_array_foreach(root, i, item)
		{
			r = read_row(item);
			if (r != NULL)
				g_ptr_array_add(rows, r);
		}
		entry_workers_set(n->entry->workers, rows);
	}
	json_decref(root);
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct entry_instances *n = arg;

	if (n->body->len + data.len <= BODY_LIMIT)
		g_string_append_len(n->body, data.ptr, (gssize)data.len);
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct entry_instances *n = arg;

	if (result == JH_HTTP_OK && jh_http_call_status(call) == 200)
		take_list(n);
	g_atomic_int_set(&n->reading, 0);
}

static const struct jh_http_call_ops read_ops = {
    .data = on_data, .done = on_done};

struct entry_instances *
entry_instances_create(struct entry *e)
{
	struct entry_instances *n = g_new0(struct entry_instances, 1);

	n->entry = e;
	n->body = g_string_new(NULL);
	return n;
}

void
entry_instances_destroy(struct entry_instances *n)
{
	g_string_free(n->body, TRUE);
	g_free(n);
}

void
entry_instances_tick(struct entry_instances *n)
{
	struct jh_http_call_spec spec = {.peer = n->entry->set.instance_list,
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
	call = jh_http_call_start(n->entry->client, &spec);
	if (call == NULL)
		g_atomic_int_set(&n->reading, 0);
	jh_http_call_unref(call);
}
