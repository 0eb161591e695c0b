#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/objects.h"
#include "fakes/platform/reply.h"
#include "net/server.h"

/* Interval of the check for watches whose wait time has passed. */
#define TICK_MSEC 50

struct object {
	uint64_t revision;
	json_t *spec;
};

struct change {
	char *kind, *name;
	uint64_t revision;
	json_t *spec; /* NULL: the object was removed */
};

/* A watch that waits for changes after its revision. */
struct waiter {
	struct jh_server_request *request; /* NULL: client disconnected */
	char *kind;
	uint64_t since; /* revision */
	uint64_t until; /* jh_now() time when the wait ends */
};

struct fake_objects {
	pthread_mutex_t lock;
	uv_async_t wake;
	uv_timer_t tick;
	struct jh_uv_server *server;
	enum fake_objects_mode mode;
	unsigned int status;
	uint64_t revision;
	uint64_t oldest; /* history before this revision is gone */
	GHashTable *objects; /* "kind/name" to struct object */
	GPtrArray *changes;
	GPtrArray *waiters;
};

void
fake_objects_lock(struct fake_objects *o)
{
	pthread_mutex_lock(&o->lock);
}

void
fake_objects_unlock(struct fake_objects *o)
{
	pthread_mutex_unlock(&o->lock);
}

static json_t *
encode_object(const char *name, uint64_t revision, json_t *spec)
{
	return json_pack("{s:{s:s, s:I}, s:O?}", "metadata", "name", name,
	    "revision", (json_int_t)revision, "specification", spec);
}

static json_t *
events_since(struct fake_objects *o, const char *kind, uint64_t since)
{
	json_t *events = json_array();
	struct change *c;
	guint i;

	for (i = 0; i < o->changes->len; i++) {
		c = g_ptr_array_index(o->changes, i);
		if (c->revision <= since || strcmp(c->kind, kind) != 0)
			continue;
		json_array_append_new(
		    events, json_pack("{s:b, s:o}", "deleted", c->spec == NULL,
				"object",
				encode_object(c->name, c->revision, c->spec)));
	}
	return events;
}

static void
send_watch(struct fake_objects *o, struct waiter *w, json_t *events)
{
	if (w->request == NULL) {
		json_decref(events);
	} else if (w->since < o->oldest) {
		json_decref(events);
		fake_reply_json(w->request, 410, json_object());
	} else {
		fake_reply_json(w->request, 200,
		    json_pack("{s:o, s:I}", "events", events, "storeRevision",
			(json_int_t)o->revision));
	}
}

/* Responds to the watches that have changes or whose wait time has passed. */
static void
check_waiters(struct fake_objects *o)
{
	struct waiter *w;
	json_t *events;
	guint i;

	for (i = o->waiters->len; i > 0; i--) {
		w = g_ptr_array_index(o->waiters, i - 1);
		events = events_since(o, w->kind, w->since);
		if (json_array_size(events) == 0 && w->request != NULL &&
		    w->since >= o->oldest && jh_now() < w->until) {
			json_decref(events);
			continue;
		}
		g_ptr_array_steal_index(o->waiters, i - 1);
		send_watch(o, w, events);
		g_free(w->kind);
		g_free(w);
	}
}

static void
free_object(void *arg)
{
	struct object *object = arg;

	json_decref(object->spec);
	g_free(object);
}

static void
free_change(void *arg)
{
	struct change *c = arg;

	g_free(c->kind);
	g_free(c->name);
	json_decref(c->spec);
	g_free(c);
}

static void
free_waiter(void *arg)
{
	struct waiter *w = arg;

	g_free(w->kind);
	g_free(w);
}

/* Called with the lock held. spec is NULL for a removal. */
static void
apply_change(
    struct fake_objects *o, const char *kind, const char *name, json_t *spec)
{
	struct change *c = g_new0(struct change, 1);
	char *key = g_strdup_printf("%s/%s", kind, name);
	struct object *object;

	c->kind = g_strdup(kind);
	c->name = g_strdup(name);
	c->revision = ++o->revision;
	c->spec = json_incref(spec);
	g_ptr_array_add(o->changes, c);
	if (spec == NULL) {
		g_hash_table_remove(o->objects, key);
	} else {
		object = g_new0(struct object, 1);
		object->revision = o->revision;
		object->spec = json_incref(spec);
		g_hash_table_replace(o->objects, g_strdup(key), object);
	}
	g_free(key);
	uv_async_send(&o->wake);
}

static struct object *
find_object(struct fake_objects *o, const char *kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", kind, name);
	struct object *object = g_hash_table_lookup(o->objects, key);

	g_free(key);
	return object;
}

static void
send_list(struct fake_objects *o, struct jh_server_request *v, const char *kind)
{
	char *prefix = g_strconcat(kind, "/", NULL);
	json_t *items = json_array();
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, o->objects);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct object *object = value;
		if (g_str_has_prefix(key, prefix))
			json_array_append_new(
			    items, encode_object((char *)key + strlen(prefix),
				       object->revision, object->spec));
	}
	g_free(prefix);
	fake_reply_json(v, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0,
		"storeRevision", (json_int_t)o->revision));
}

static void
on_watcher_gone(void *arg)
{
	struct waiter *w = arg;

	w->request = NULL;
}

static void
on_drained(void *arg)
{
}

static const struct jh_server_request_ops waiter_ops = {
    .disconnected = on_watcher_gone, .drained = on_drained};

static void
handle_watch(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *query)
{
	struct waiter *w = g_new0(struct waiter, 1);
	const char *wait = strstr(query, "waitMs=");

	w->request = v;
	w->kind = g_strdup(kind);
	w->since = g_ascii_strtoull(
	    strstr(query, "watch=") + strlen("watch="), NULL, 10);
	w->until = jh_now();
	if (wait != NULL)
		w->until +=
		    g_ascii_strtoull(wait + strlen("waitMs="), NULL, 10) *
		    JH_USEC_PER_MSEC;
	jh_server_request_set_ops(v, &waiter_ops, w);
	g_ptr_array_add(o->waiters, w);
	check_waiters(o);
}

static bool
is_precondition_met(const struct object *object, json_t *revision, bool create)
{
	if (create || object == NULL)
		return create == (object == NULL);
	return revision == NULL ||
	       (uint64_t)json_integer_value(revision) == object->revision;
}

static void
write_object(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name, bool create)
{
	struct jh_str body = jh_server_request_body(v);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	json_t *metadata = json_object_get(root, "metadata");
	json_t *spec = json_object_get(root, "specification");
	struct object *object;

	if (create)
		name = json_string_value(json_object_get(metadata, "name"));
	if (name == NULL || spec == NULL) {
		jh_server_request_respond(
		    v, 400, "Bad Request", JH_STR(""), JH_STR(""));
		json_decref(root);
		return;
	}
	object = find_object(o, kind, name);
	if (!is_precondition_met(
		object, json_object_get(metadata, "revision"), create)) {
		fake_reply_json(v, object != NULL ? 409 : 404,
		    object != NULL
			? encode_object(name, object->revision, object->spec)
			: json_object());
	} else {
		if (object == NULL || !json_equal(object->spec, spec))
			apply_change(o, kind, name, spec);
		object = find_object(o, kind, name);
		if (o->mode == OBJECTS_LOSE_RESPONSES)
			jh_server_request_abort(v);
		else
			fake_reply_json(v, 200,
			    encode_object(
				name, object->revision, object->spec));
	}
	json_decref(root);
}

static void
remove_object(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name, const char *query)
{
	struct object *object = find_object(o, kind, name);
	const char *at = query != NULL ? strstr(query, "revision=") : NULL;

	if (object == NULL) {
		fake_reply_json(v, 404, json_object());
	} else if (at != NULL && g_ascii_strtoull(at + strlen("revision="),
				     NULL, 10) != object->revision) {
		fake_reply_json(v, 409,
		    encode_object(name, object->revision, object->spec));
	} else {
		apply_change(o, kind, name, NULL);
		fake_reply_json(v, 200, json_object());
	}
}

static void
send_object(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name)
{
	struct object *object = find_object(o, kind, name);

	fake_reply_json(v, object != NULL ? 200 : 404,
	    object != NULL ? encode_object(name, object->revision, object->spec)
			   : json_object());
}

static void
handle_objects(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name, const char *query)
{
	const char *method = jh_server_request_head(v)->method;

	if (kind == NULL)
		jh_server_request_respond(
		    v, 404, "Not Found", JH_STR(""), JH_STR(""));
	else if (strcmp(method, "POST") == 0)
		write_object(o, v, kind, NULL, true);
	else if (strcmp(method, "PUT") == 0)
		write_object(o, v, kind, name, false);
	else if (strcmp(method, "DELETE") == 0 && name != NULL)
		remove_object(o, v, kind, name, query);
	else if (name != NULL)
		send_object(o, v, kind, name);
	else if (query != NULL && strstr(query, "watch=") != NULL)
		handle_watch(o, v, kind, query);
	else
		send_list(o, v, kind);
}

static void
on_request(void *arg, struct jh_server_request *v)
{
	struct fake_objects *o = arg;
	char *target = jh_str_dup(jh_head_target(jh_server_request_head(v)));
	char *query = strchr(target, '?');
	char **words; /* "", "objects", kind, name */

	if (query != NULL)
		*query++ = '\0';
	words = g_strsplit(target, "/", 4);
	fake_objects_lock(o);
	if (o->mode == OBJECTS_REFUSE)
		jh_server_request_respond(
		    v, o->status, "Away", JH_STR(""), JH_STR(""));
	else if (o->mode != OBJECTS_SILENT)
		handle_objects(
		    o, v, words[2], words[2] != NULL ? words[3] : NULL, query);
	fake_objects_unlock(o);
	g_strfreev(words);
	g_free(target);
}

static const struct jh_uv_server_ops server_ops = {.request = on_request};

static void
on_wake(uv_async_t *a)
{
	struct fake_objects *o = a->data;

	fake_objects_lock(o);
	check_waiters(o);
	fake_objects_unlock(o);
}

static void
on_tick(uv_timer_t *t)
{
	struct fake_objects *o = t->data;

	on_wake(&o->wake);
}

struct fake_objects *
fake_objects_create(uv_loop_t *loop, unsigned int port)
{
	struct fake_objects *o = g_new0(struct fake_objects, 1);
	pthread_mutexattr_t attr;

	pthread_mutexattr_init(&attr);
	pthread_mutexattr_settype(&attr, PTHREAD_MUTEX_RECURSIVE);
	pthread_mutex_init(&o->lock, &attr);
	pthread_mutexattr_destroy(&attr);
	o->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	o->changes = g_ptr_array_new_with_free_func(free_change);
	o->waiters = g_ptr_array_new_with_free_func(free_waiter);
	uv_async_init(loop, &o->wake, on_wake);
	uv_timer_init(loop, &o->tick);
	o->wake.data = o->tick.data = o;
	uv_timer_start(&o->tick, on_tick, TICK_MSEC, TICK_MSEC);
	o->server = fake_listen(loop, port, &server_ops, o);
	return o;
}

void
fake_objects_destroy(struct fake_objects *o)
{
	jh_uv_server_destroy(o->server);
	uv_close((uv_handle_t *)&o->wake, NULL);
	uv_close((uv_handle_t *)&o->tick, NULL);
	uv_run(o->wake.loop, UV_RUN_NOWAIT);
	g_ptr_array_free(o->changes, TRUE);
	g_ptr_array_free(o->waiters, TRUE);
	g_hash_table_destroy(o->objects);
	pthread_mutex_destroy(&o->lock);
	g_free(o);
}

void
fake_objects_set_mode(
    struct fake_objects *o, enum fake_objects_mode mode, unsigned int status)
{
	fake_objects_lock(o);
	o->mode = mode;
	o->status = status;
	fake_objects_unlock(o);
}

void
fake_objects_drop_history(struct fake_objects *o)
{
	fake_objects_lock(o);
	o->oldest = ++o->revision;
	g_ptr_array_set_size(o->changes, 0);
	fake_objects_unlock(o);
	uv_async_send(&o->wake);
}

uint64_t
fake_objects_put(
    struct fake_objects *o, const char *kind, const char *name, json_t *spec)
{
	uint64_t revision;

	fake_objects_lock(o);
	apply_change(o, kind, name, spec);
	revision = o->revision;
	fake_objects_unlock(o);
	return revision;
}

void
fake_objects_remove(struct fake_objects *o, const char *kind, const char *name)
{
	fake_objects_lock(o);
	if (find_object(o, kind, name) != NULL)
		apply_change(o, kind, name, NULL);
	fake_objects_unlock(o);
}

json_t *
fake_objects_get(struct fake_objects *o, const char *kind, const char *name)
{
	struct object *object;
	json_t *spec;

	fake_objects_lock(o);
	object = find_object(o, kind, name);
	spec = object != NULL ? json_incref(object->spec) : NULL;
	fake_objects_unlock(o);
	return spec;
}
