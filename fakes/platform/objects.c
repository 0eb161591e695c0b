#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/history.h"
#include "fakes/platform/objects.h"
#include "fakes/platform/reply.h"
#include "net/server.h"

/* Interval of the check for watches whose wait time has passed. */
#define TICK_MSEC 50

#define ERA_FIELD "Store-Era"

/* A watch that waits for changes after its revision. */
struct waiter {
	struct jh_server_request *request; /* NULL: client disconnected */
	char *kind;
	uint64_t since; /* revision */
	uint64_t until; /* jh_now() time when the wait ends */
};

/* A write call. */
struct write {
	char *kind, *name;
	bool create;
	uint64_t revision; /* a condition; 0: none */
	json_t *spec; /* NULL: removes the object */
};

/* An object that is written again after a restore. */
struct rewrite {
	char *kind, *name;
	json_t *spec; /* NULL: the object is removed again */
	uint64_t at; /* jh_now() time */
};

struct fake_objects {
	pthread_mutex_t lock;
	uv_async_t wake;
	uv_async_t restore;
	uv_timer_t tick;
	struct jh_uv_server *server;
	enum fake_objects_mode mode;
	unsigned int status;
	struct fake_history *history;
	GPtrArray *waiters;
	uint64_t era;
	uint64_t away_until; /* jh_now() time, of a restore */
	bool late_writes; /* see struct fake_restore */
	GPtrArray *held; /* of struct write, to be executed after away_until */
	GPtrArray *rewrites; /* of struct rewrite */
};

static bool
is_away(const struct fake_objects *o)
{
	return jh_now() < o->away_until;
}

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

/* Responds with a JSON body; takes over the reference. */
static void
reply(struct fake_objects *o, struct jh_server_request *v, unsigned int status,
    json_t *body)
{
	char *field =
	    g_strdup_printf(ERA_FIELD ": %" G_GUINT64_FORMAT "\r\n", o->era);

	fake_reply_json_fields(v, status, field, body);
	g_free(field);
}

static uint64_t
revision(const struct fake_objects *o)
{
	return fake_history_revision(o->history);
}

static void
free_waiter(void *arg)
{
	struct waiter *w = arg;

	g_free(w->kind);
	g_free(w);
}

static void
send_watch(struct fake_objects *o, struct waiter *w, json_t *events)
{
	if (!fake_history_has(o->history, w->since)) {
		json_decref(events);
		reply(o, w->request, 410, json_object());
		return;
	}
	reply(o, w->request, 200,
	    json_pack("{s:o, s:I}", "events", events, "storeRevision",
		(json_int_t)revision(o)));
}

/* Responds to the watches that have changes or whose wait time has passed. */
static void
check_waiters(struct fake_objects *o)
{
	struct waiter *w;
	json_t *events;
	guint i;

	if (is_away(o))
		return;
	for (i = o->waiters->len; i > 0; i--) {
		w = g_ptr_array_index(o->waiters, i - 1);
		events = fake_history_events(o->history, w->kind, w->since);
		if (json_array_size(events) == 0 && w->request != NULL &&
		    fake_history_has(o->history, w->since) &&
		    jh_now() < w->until) {
			json_decref(events);
			continue;
		}
		g_ptr_array_steal_index(o->waiters, i - 1);
		if (w->request != NULL)
			send_watch(o, w, events);
		else
			json_decref(events);
		free_waiter(w);
	}
}

/* Called with the lock held. spec is NULL for a removal. */
static void
apply_change(struct fake_objects *o, enum fake_writer writer, const char *kind,
    const char *name, json_t *spec)
{
	fake_history_add(o->history, jh_now(), writer, kind, name, spec);
	uv_async_send(&o->wake);
}

static void
send_list(struct fake_objects *o, struct jh_server_request *v, const char *kind)
{
	reply(o, v, 200,
	    json_pack("{s:o, s:b, s:I}", "items",
		fake_history_list(o->history, kind), "hasMore", 0,
		"storeRevision", (json_int_t)revision(o)));
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
is_precondition_met(const struct fake_change *object, const struct write *w)
{
	if (w->create || object == NULL)
		return w->create == (object == NULL);
	return w->revision == 0 || w->revision == object->revision;
}

/* Returns the status of the response, and sets its body. */
static unsigned int
execute_write(struct fake_objects *o, const struct write *w, json_t **body)
{
	const struct fake_change *object =
	    fake_history_object(o->history, w->kind, w->name);

	if (!is_precondition_met(object, w)) {
		*body =
		    object != NULL ? fake_change_encode(object) : json_object();
		return object != NULL ? 409 : 404;
	}
	if (object == NULL || !json_equal(object->spec, w->spec))
		apply_change(o, FAKE_WRITER_ROUTER, w->kind, w->name, w->spec);
	object = fake_history_object(o->history, w->kind, w->name);
	*body = object != NULL ? fake_change_encode(object) : json_object();
	return 200;
}

static void
free_write(void *arg)
{
	struct write *w = arg;

	g_free(w->kind);
	g_free(w->name);
	json_decref(w->spec);
	g_free(w);
}

/* Returns NULL if the call is not a valid write. */
static struct write *
decode_write(struct jh_server_request *v, const char *kind, const char *name,
    const char *query)
{
	const char *method = jh_server_request_head(v)->method;
	struct jh_str text = jh_server_request_body(v);
	json_t *body = json_loadb(text.ptr, text.len, 0, NULL);
	json_t *metadata = json_object_get(body, "metadata");
	const char *at = query != NULL ? strstr(query, "revision=") : NULL;
	bool removal = strcmp(method, "DELETE") == 0;
	struct write *w = g_new0(struct write, 1);

	w->create = strcmp(method, "POST") == 0;
	if (w->create)
		name = json_string_value(json_object_get(metadata, "name"));
	w->kind = g_strdup(kind);
	w->name = g_strdup(name);
	w->spec = json_incref(json_object_get(body, "specification"));
	w->revision =
	    (uint64_t)json_integer_value(json_object_get(metadata, "revision"));
	if (at != NULL)
		w->revision =
		    g_ascii_strtoull(at + strlen("revision="), NULL, 10);
	json_decref(body);
	if (w->name != NULL && (w->spec != NULL) != removal)
		return w;
	free_write(w);
	return NULL;
}

static void
handle_write(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name, const char *query)
{
	struct write *w = decode_write(v, kind, name, query);
	unsigned int status;
	json_t *body;

	if (w == NULL) {
		reply(o, v, 400, json_object());
		return;
	}
	if (is_away(o)) {
		if (o->late_writes)
			g_ptr_array_add(o->held, w);
		else
			free_write(w);
		return;
	}
	status = execute_write(o, w, &body);
	if (status == 200 && o->mode == OBJECTS_LOSE_RESPONSES) {
		json_decref(body);
		jh_server_request_abort(v);
	} else {
		reply(o, v, status, body);
	}
	free_write(w);
}

static void
send_object(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name)
{
	const struct fake_change *object =
	    fake_history_object(o->history, kind, name);

	reply(o, v, object != NULL ? 200 : 404,
	    object != NULL ? fake_change_encode(object) : json_object());
}

static void
handle_objects(struct fake_objects *o, struct jh_server_request *v,
    const char *kind, const char *name, const char *query)
{
	if (kind == NULL)
		reply(o, v, 404, json_object());
	else if (strcmp(jh_server_request_head(v)->method, "GET") != 0)
		handle_write(o, v, kind, name, query);
	else if (is_away(o))
		return;
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
		reply(o, v, o->status, json_object());
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
free_rewrite(void *arg)
{
	struct rewrite *r = arg;

	g_free(r->kind);
	g_free(r->name);
	json_decref(r->spec);
	g_free(r);
}

/* Writes an object as the operator or a worker, if that changes it. */
static void
write_as_other(
    struct fake_objects *o, const char *kind, const char *name, json_t *spec)
{
	const struct fake_change *object =
	    fake_history_object(o->history, kind, name);

	if (object != NULL ? !json_equal(object->spec, spec) : spec != NULL)
		apply_change(o, FAKE_WRITER_OTHER, kind, name, spec);
}

/* Drops the pending rewrite of an object that is written meanwhile. */
static void
drop_rewrite(struct fake_objects *o, const char *kind, const char *name)
{
	guint i;

	for (i = o->rewrites->len; i > 0; i--) {
		const struct rewrite *r = g_ptr_array_index(o->rewrites, i - 1);
		if (strcmp(r->kind, kind) == 0 && strcmp(r->name, name) == 0)
			g_ptr_array_remove_index(o->rewrites, i - 1);
	}
}

/* Does what is due after a restore. */
static void
continue_restore(struct fake_objects *o)
{
	uint64_t now = jh_now();
	json_t *body;
	guint i;

	if (is_away(o))
		return;
	for (i = 0; i < o->held->len; i++) {
		(void)execute_write(o, g_ptr_array_index(o->held, i), &body);
		json_decref(body);
	}
	g_ptr_array_set_size(o->held, 0);
	for (i = o->rewrites->len; i > 0; i--) {
		const struct rewrite *r = g_ptr_array_index(o->rewrites, i - 1);
		if (now < r->at)
			continue;
		write_as_other(o, r->kind, r->name, r->spec);
		g_ptr_array_remove_index(o->rewrites, i - 1);
	}
}

static void
on_tick(uv_timer_t *t)
{
	struct fake_objects *o = t->data;

	fake_objects_lock(o);
	continue_restore(o);
	check_waiters(o);
	fake_objects_unlock(o);
}

/* Resets the connections of the watches that wait. */
static void
cut_waiters(struct fake_objects *o)
{
	guint i;

	for (i = 0; i < o->waiters->len; i++) {
		struct waiter *w = g_ptr_array_index(o->waiters, i);
		if (w->request != NULL)
			jh_server_request_abort(w->request);
		w->request = NULL;
	}
}

static void
on_restore(uv_async_t *a)
{
	struct fake_objects *o = a->data;

	fake_objects_lock(o);
	if (is_away(o))
		cut_waiters(o);
	check_waiters(o);
	fake_objects_unlock(o);
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
	o->history = fake_history_create();
	o->era = 1;
	o->waiters = g_ptr_array_new_with_free_func(free_waiter);
	o->held = g_ptr_array_new_with_free_func(free_write);
	o->rewrites = g_ptr_array_new_with_free_func(free_rewrite);
	uv_async_init(loop, &o->wake, on_wake);
	uv_async_init(loop, &o->restore, on_restore);
	uv_timer_init(loop, &o->tick);
	o->wake.data = o->restore.data = o->tick.data = o;
	uv_timer_start(&o->tick, on_tick, TICK_MSEC, TICK_MSEC);
	o->server = fake_listen(loop, port, &server_ops, o);
	return o;
}

void
fake_objects_destroy(struct fake_objects *o)
{
	jh_uv_server_destroy(o->server);
	uv_close((uv_handle_t *)&o->wake, NULL);
	uv_close((uv_handle_t *)&o->restore, NULL);
	uv_close((uv_handle_t *)&o->tick, NULL);
	uv_run(o->wake.loop, UV_RUN_NOWAIT);
	g_ptr_array_free(o->waiters, TRUE);
	g_ptr_array_free(o->held, TRUE);
	g_ptr_array_free(o->rewrites, TRUE);
	fake_history_destroy(o->history);
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
	fake_history_drop(o->history);
	fake_objects_unlock(o);
	uv_async_send(&o->wake);
}

uint64_t
fake_objects_put(
    struct fake_objects *o, const char *kind, const char *name, json_t *spec)
{
	uint64_t at;

	fake_objects_lock(o);
	drop_rewrite(o, kind, name);
	apply_change(o, FAKE_WRITER_OTHER, kind, name, spec);
	at = revision(o);
	fake_objects_unlock(o);
	return at;
}

void
fake_objects_remove(struct fake_objects *o, const char *kind, const char *name)
{
	fake_objects_lock(o);
	drop_rewrite(o, kind, name);
	write_as_other(o, kind, name, NULL);
	fake_objects_unlock(o);
}

json_t *
fake_objects_get(struct fake_objects *o, const char *kind, const char *name)
{
	const struct fake_change *object;
	json_t *spec;

	fake_objects_lock(o);
	object = fake_history_object(o->history, kind, name);
	spec = object != NULL ? json_incref(object->spec) : NULL;
	fake_objects_unlock(o);
	return spec;
}

/* Plans to write an object again at a random time between two. */
static void
add_rewrite(struct fake_objects *o, GRand *rand, const struct fake_change *c,
    uint64_t from, uint64_t to)
{
	struct rewrite *r = g_new0(struct rewrite, 1);

	r->kind = g_strdup(c->kind);
	r->name = g_strdup(c->name);
	r->spec = json_incref(c->spec);
	r->at = from;
	if (to > from)
		r->at +=
		    (uint64_t)g_rand_double_range(rand, 0, (double)(to - from));
	g_ptr_array_add(o->rewrites, r);
}

void
fake_objects_restore(struct fake_objects *o, const struct fake_restore *spec)
{
	GRand *rand = g_rand_new_with_seed(spec->seed);
	GPtrArray *lost;
	guint i;

	fake_objects_lock(o);
	o->era++;
	o->away_until = spec->back_at;
	o->late_writes = spec->late_writes;
	lost = fake_history_go_back(o->history, spec->copied_at);
	for (i = 0; i < lost->len; i++) {
		const struct fake_change *c = g_ptr_array_index(lost, i);
		drop_rewrite(o, c->kind, c->name);
		add_rewrite(o, rand, c, MAX(spec->back_at, jh_now()),
		    spec->rewritten_by);
	}
	fake_objects_unlock(o);
	g_ptr_array_unref(lost);
	g_rand_free(rand);
	uv_async_send(&o->restore);
}

uint64_t
fake_objects_era(struct fake_objects *o)
{
	uint64_t era;

	fake_objects_lock(o);
	era = o->era;
	fake_objects_unlock(o);
	return era;
}
