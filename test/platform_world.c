#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <sys/socket.h>
#include <uv.h>

#include "net/front.h"
#include "platform_world.h"

#define EVENTS 6
#define LOAD_MSEC 100

struct worker {
	struct platform *platform;
	unsigned int number;
	unsigned int port;
	struct jh_front *front;
	enum worker_mode mode;
	unsigned int runs;
	unsigned int weights, loading;
	unsigned int orders;
	uv_timer_t load;
};

struct object {
	uint64_t revision;
	json_t *spec;
};

/* A watch that waits for changes after its revision. */
struct waiter {
	struct jh_visit *visit;
	char *kind;
	uint64_t since;
	uint64_t until;
};

struct change {
	char *kind, *name;
	uint64_t revision;
	json_t *spec; /* NULL: removed */
};

struct platform {
	char *dir;
	pthread_mutex_t lock;
	uv_loop_t loop;
	uv_async_t wake;
	uv_timer_t tick;
	pthread_t thread;
	bool stop;
	struct jh_front *store;
	unsigned int store_port;
	unsigned int store_status;
	uint64_t revision;
	GHashTable *objects; /* "kind/name" to struct object */
	GPtrArray *changes;
	GPtrArray *waiters;
	struct worker workers[PLATFORM_WORKERS];
	char *last_head;
	struct proc entry;
	unsigned int clients, readiness;
};

static const struct jh_front_limits limits = {65536, 1 << 20, 0, 0, 0};

static void
reply_json(struct jh_visit *v, unsigned int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);

	jh_visit_answer(v, status, "Answer",
	    JH_STR("Content-Type: application/json\r\n"), jh_str_from(text));
	free(text);
	json_decref(body);
}

static json_t *
describe(const char *name, uint64_t revision, json_t *spec)
{
	return json_pack("{s:{s:s, s:I}, s:O?}", "metadata", "name", name,
	    "revision", (json_int_t)revision, "specification", spec);
}

/* Answers the watches that have something to hear, or waited long enough. */
static void
answer_waiters(struct platform *p)
{
	guint i, k;

	for (i = p->waiters->len; i > 0; i--) {
		struct waiter *w = g_ptr_array_index(p->waiters, i - 1);
		json_t *events = json_array();
		for (k = 0; k < p->changes->len; k++) {
			struct change *c = g_ptr_array_index(p->changes, k);
			if (c->revision <= w->since ||
			    strcmp(c->kind, w->kind) != 0)
				continue;
			json_array_append_new(events,
			    json_pack("{s:b, s:o}", "deleted", c->spec == NULL,
				"object",
				describe(c->name, c->revision, c->spec)));
		}
		if (json_array_size(events) == 0 && jh_now() < w->until) {
			json_decref(events);
			continue;
		}
		g_ptr_array_remove_index(p->waiters, i - 1);
		if (w->visit != NULL)
			reply_json(w->visit, 200,
			    json_pack("{s:o, s:I}", "events", events,
				"storeRevision", (json_int_t)p->revision));
		else
			json_decref(events);
		g_free(w->kind);
		g_free(w);
	}
}

static void
change(struct platform *p, const char *kind, const char *name, json_t *spec)
{
	struct change *c = g_new0(struct change, 1);
	char *key = g_strdup_printf("%s/%s", kind, name);

	c->kind = g_strdup(kind);
	c->name = g_strdup(name);
	c->revision = ++p->revision;
	c->spec = json_incref(spec);
	g_ptr_array_add(p->changes, c);
	if (spec == NULL)
		g_hash_table_remove(p->objects, key);
	else {
		struct object *o = g_new0(struct object, 1);
		o->revision = p->revision;
		o->spec = json_incref(spec);
		g_hash_table_replace(p->objects, g_strdup(key), o);
	}
	g_free(key);
	uv_async_send(&p->wake);
}

static void
list_kind(struct platform *p, struct jh_visit *v, const char *kind)
{
	char *prefix = g_strconcat(kind, "/", NULL);
	json_t *items = json_array();
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, p->objects);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct object *o = value;
		if (g_str_has_prefix(key, prefix))
			json_array_append_new(
			    items, describe((char *)key + strlen(prefix),
				       o->revision, o->spec));
	}
	g_free(prefix);
	reply_json(v, 200,
	    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0,
		"storeRevision", (json_int_t)p->revision));
}

static void
on_watcher_gone(void *arg)
{
	struct waiter *w = arg;

	w->until = 0;
	w->visit = NULL;
}

static void
on_nothing(void *arg)
{
}

static const struct jh_visit_ops waiter_ops = {on_watcher_gone, on_nothing};

static void
start_watch(
    struct platform *p, struct jh_visit *v, const char *kind, const char *query)
{
	struct waiter *w = g_new0(struct waiter, 1);
	const char *wait = strstr(query, "waitMs=");

	w->visit = v;
	w->kind = g_strdup(kind);
	w->since = g_ascii_strtoull(strstr(query, "watch=") + 6, NULL, 10);
	w->until = jh_now() +
		   g_ascii_strtoull(wait + strlen("waitMs="), NULL, 10) * 1000;
	jh_visit_watch(v, &waiter_ops, w);
	g_ptr_array_add(p->waiters, w);
	answer_waiters(p);
}

static void
write_object(struct platform *p, struct jh_visit *v, const char *kind,
    const char *name, bool create)
{
	struct jh_str body = jh_visit_body(v);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	json_t *metadata = json_object_get(root, "metadata");
	json_t *wanted = json_object_get(metadata, "revision");
	struct object *o;
	char *key;

	if (create)
		name = json_string_value(json_object_get(metadata, "name"));
	if (name == NULL) {
		jh_visit_answer(v, 400, "Bad Request", JH_STR(""), JH_STR(""));
		json_decref(root);
		return;
	}
	key = g_strdup_printf("%s/%s", kind, name);
	o = g_hash_table_lookup(p->objects, key);
	if (create
		? o != NULL
		: o == NULL || (wanted != NULL && (uint64_t)json_integer_value(
						      wanted) != o->revision)) {
		reply_json(v, o != NULL ? 409 : 404,
		    o != NULL ? describe(name, o->revision, o->spec)
			      : json_object());
	} else {
		change(p, kind, name, json_object_get(root, "specification"));
		o = g_hash_table_lookup(p->objects, key);
		reply_json(v, 200, describe(name, o->revision, o->spec));
	}
	g_free(key);
	json_decref(root);
}

static void
on_store_request(void *arg, struct jh_visit *v)
{
	struct platform *p = arg;
	const struct jh_head *head = jh_visit_head(v);
	char *target = jh_str_dup(jh_head_target(head));
	char *query = strchr(target, '?');
	char **words;
	const char *kind, *name;

	pthread_mutex_lock(&p->lock);
	if (query != NULL)
		*query++ = '\0';
	words = g_strsplit(target, "/", 4); /* "", "objects", kind, name */
	kind = words[2];
	name = kind != NULL ? words[3] : NULL;
	if (p->store_status != 0)
		jh_visit_answer(
		    v, p->store_status, "Away", JH_STR(""), JH_STR(""));
	else if (strcmp(head->method, "POST") == 0)
		write_object(p, v, kind, NULL, true);
	else if (strcmp(head->method, "PUT") == 0)
		write_object(p, v, kind, name, false);
	else if (name != NULL) {
		char *key = g_strdup_printf("%s/%s", kind, name);
		struct object *o = g_hash_table_lookup(p->objects, key);
		reply_json(v, o != NULL ? 200 : 404,
		    o != NULL ? describe(name, o->revision, o->spec)
			      : json_object());
		g_free(key);
	} else if (query != NULL && strstr(query, "watch=") != NULL)
		start_watch(p, v, kind, query);
	else
		list_kind(p, v, kind);
	pthread_mutex_unlock(&p->lock);
	g_strfreev(words);
	g_free(target);
}

static json_t *
worker_spec(const struct worker *w)
{
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u", w->port);
	return json_pack("{s:s, s:s, s:s, s:i, s:s, s:[{s:s, s:i}], s:i, s:i}",
	    "service", "llm", "address", address, "zone", "z0", "slots", 8,
	    "state", "ready", "models", "name", "m1", "version",
	    (int)w->weights, "sequence", 1, "born", 1000);
}

static void
list_worker(struct worker *w)
{
	char name[8];
	json_t *spec = worker_spec(w);

	g_snprintf(name, sizeof(name), "w%u", w->number);
	change(w->platform, "servers", name, spec);
	json_decref(spec);
}

static void
on_loaded(uv_timer_t *t)
{
	struct worker *w = t->data;

	pthread_mutex_lock(&w->platform->lock);
	w->weights = w->loading;
	w->loading = 0;
	list_worker(w);
	pthread_mutex_unlock(&w->platform->lock);
}

static void
take_order(struct worker *w, struct jh_visit *v)
{
	struct jh_str body = jh_visit_body(v);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	unsigned int version =
	    (unsigned int)json_integer_value(json_object_get(root, "version"));
	json_t *expected = json_object_get(root, "expected");
	unsigned int status = 202;

	if (json_integer_value(json_object_get(root, "fencingToken")) <= 0 ||
	    json_string_value(json_object_get(root, "holder")) == NULL)
		status = 400;
	else if (w->loading != 0 ||
		 (expected != NULL &&
		     json_integer_value(expected) != (json_int_t)w->orders))
		status = 409;
	else if (version == w->weights)
		status = 200;
	if (status == 202) {
		w->orders++;
		w->loading = version;
		uv_timer_start(&w->load, on_loaded, LOAD_MSEC, 0);
	}
	json_decref(root);
	jh_visit_answer(v, status, "Answer", JH_STR(""), JH_STR(""));
}

static void
stream(struct worker *w, struct jh_visit *v, GString *fields)
{
	struct jh_str last = jh_head_get(jh_visit_head(v), "Last-Event-Id");
	int from = last.ptr != NULL ? atoi(last.ptr) : 0, i;
	char event[64];

	jh_visit_begin(v, 200, "OK", (struct jh_str){fields->str, fields->len});
	for (i = from + 1; i <= EVENTS; i++) {
		g_snprintf(event, sizeof(event), "id: %d\ndata: t%d\n\n", i, i);
		jh_visit_write(v, jh_str_from(event));
		if (w->mode == WORKER_BREAKS_STREAM && i == EVENTS / 2) {
			jh_visit_write(v, JH_STR("id: 4\nda"));
			w->mode = WORKER_ANSWERS;
			/* Only what was written already reaches the entry. */
			jh_visit_abort(v);
			return;
		}
	}
	jh_visit_end(v);
}

static void
run_request(struct worker *w, struct jh_visit *v)
{
	const struct jh_head *head = jh_visit_head(v);
	struct jh_str id = jh_head_get(head, "X-Jacinthhill-Attempt-Id");
	struct jh_str path = jh_head_path(head);
	GString *fields = g_string_new(NULL);

	w->runs++;
	g_string_append_printf(fields,
	    "X-Jacinthhill-Attempt-Id: %.*s\r\n"
	    "X-Jacinthhill-Weight-Versions: %u\r\n",
	    (int)id.len, id.ptr != NULL ? id.ptr : "", w->weights);
	if (w->mode != WORKER_UNSEALED)
		g_string_append(fields, "X-Jacinthhill-Response-Seal: s1\r\n");
	if (w->mode == WORKER_BREAKS)
		jh_visit_abort(v);
	else if (w->mode == WORKER_FAILS)
		jh_visit_answer(v, 500, "Error",
		    (struct jh_str){fields->str, fields->len},
		    JH_STR("broken"));
	else if (path.len > 8 && memcmp(path.ptr, "/stream/", 8) == 0)
		stream(w, v, fields);
	else
		jh_visit_answer(v, 200, "OK",
		    (struct jh_str){fields->str, fields->len}, JH_STR("done"));
	g_string_free(fields, TRUE);
}

static bool
is_misdirected(const struct worker *w, const struct jh_head *head)
{
	struct jh_str id = jh_head_get(head, "X-Jacinthhill-Expected-Instance");
	struct jh_str weights =
	    jh_head_get(head, "X-Jacinthhill-Expected-Version");
	char name[8];

	g_snprintf(name, sizeof(name), "w%u", w->number);
	if (id.ptr != NULL && !jh_str_eq(id, jh_str_from(name)))
		return true;
	return weights.ptr != NULL &&
	       (unsigned int)atoi(weights.ptr) != w->weights;
}

static void
keep_head(struct platform *p, const struct jh_head *head)
{
	GString *s = g_string_new(NULL);
	size_t i;

	for (i = 0; i < jh_head_count(head); i++)
		g_string_append_printf(s, "%.*s: %.*s\n",
		    (int)jh_head_name(head, i).len, jh_head_name(head, i).ptr,
		    (int)jh_head_value(head, i).len,
		    jh_head_value(head, i).ptr);
	g_free(p->last_head);
	p->last_head = g_string_free(s, FALSE);
}

static void
on_worker_request(void *arg, struct jh_visit *v)
{
	struct worker *w = arg;
	const struct jh_head *head = jh_visit_head(v);
	struct jh_str path = jh_head_path(head);

	pthread_mutex_lock(&w->platform->lock);
	if (jh_str_eq(path, JH_STR("/report")))
		reply_json(v, 200,
		    json_pack("{s:[{s:s, s:i}], s:b, s:i}", "models", "name",
			"m1", "version", (int)w->weights, "busy",
			w->loading != 0, "sequence", (int)w->orders));
	else if (jh_str_eq(path, JH_STR("/order")))
		take_order(w, v);
	else if (is_misdirected(w, head))
		jh_visit_answer(v, 421, "Misdirected", JH_STR(""), JH_STR(""));
	else if (w->mode == WORKER_DECLINES || w->loading != 0)
		jh_visit_answer(v, 503, "Busy",
		    JH_STR("X-Jacinthhill-Not-Executed: 1\r\n"), JH_STR(""));
	else if (w->mode != WORKER_SILENT) {
		keep_head(w->platform, head);
		run_request(w, v);
	}
	pthread_mutex_unlock(&w->platform->lock);
}

static const struct jh_front_ops store_ops = {on_store_request};
static const struct jh_front_ops worker_ops = {on_worker_request};

static void
on_wake(uv_async_t *a)
{
	struct platform *p = a->data;

	pthread_mutex_lock(&p->lock);
	answer_waiters(p);
	if (p->stop)
		uv_stop(&p->loop);
	pthread_mutex_unlock(&p->lock);
}

static void
on_tick(uv_timer_t *t)
{
	on_wake(&((struct platform *)t->data)->wake);
}

static void *
run_loop(void *arg)
{
	struct platform *p = arg;

	uv_run(&p->loop, UV_RUN_DEFAULT);
	return NULL;
}

static void
free_object(void *arg)
{
	struct object *o = arg;

	json_decref(o->spec);
	g_free(o);
}

static struct sockaddr_in
loopback(unsigned int port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)port);
	return sin;
}

static struct jh_front *
serve(struct platform *p, unsigned int *port, const struct jh_front_ops *ops,
    void *arg)
{
	struct jh_front *f = jh_front_create(&p->loop, &limits, ops, arg);
	struct sockaddr_in sin;

	*port = proc_port();
	sin = loopback(*port);
	assert_int_equal(jh_front_listen(f, &sin), 0);
	return f;
}

static json_t *
make_config(unsigned int version, const char *key)
{
	static const struct {
		const char *name, *prefix, *kind;
		int resumable, open;
	} routes[] = {{"r1", "/once/", "non_idempotent", 0, 0},
	    {"r2", "/again/", "idempotent", 0, 0},
	    {"r3", "/stream/", "streaming", 1, 0},
	    {"r4", "/public/", "idempotent", 0, 1}};
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++)
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:b, "
			      "s:b, s:i}",
			"name", routes[i].name, "host", "h.example",
			"pathPrefix", routes[i].prefix, "kind", routes[i].kind,
			"timeoutMs", 4000, "targetLatencyMs", 500, "service",
			"llm", "attempts", 2, "public", routes[i].open,
			"resumable", routes[i].resumable, "targetGapMs", 400));
	return json_pack("{s:i, s:o, s:[{s:s, s:{s:i, s:i}}], s:{s:i, s:i}, "
			 "s:[{s:s, s:[s], s:b}]}",
	    "version", (int)version, "routes", list, "services", "name", "llm",
	    "engine", "slots", 8, "kvCapacityTokens", 80000, "limits",
	    "headerBytes", 16384, "bodyBytes", 65536, "tenants", "name", "t1",
	    "apiKeys", key, "isolated", 1);
}

static void
start_entry(struct platform *p)
{
	const char *build = getenv("BUILD");
	char *program =
	    g_strdup_printf("%s/jhplatform", build != NULL ? build : "build");
	char *file = g_strdup_printf("%s/entry.yaml", p->dir);
	char **argv = g_new0(char *, 3); /* owned by the process */
	char *text;

	argv[0] = program;
	argv[1] = file;
	p->clients = proc_port();
	p->readiness = proc_port();
	text = g_strdup_printf(
	    "name: \"e1\"\nzone: \"z0\"\nzones:\n  - name: \"z0\"\n"
	    "    region: \"r0\"\ngossip: \"127.0.0.1:%u\"\n"
	    "clients: \"127.0.0.1:%u\"\nreadiness: \"127.0.0.1:%u\"\n"
	    "metrics: \"127.0.0.1:%u\"\n"
	    "store: \"127.0.0.1:%u\"\nmemory_mb: 110\ndescriptors: 1000\n"
	    "grace_s: \"6\"\nrepeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
	    "repeat_window_s: \"10\"\nholders_apart_ms: 500\n",
	    proc_port(), p->clients, p->readiness, proc_port(), p->store_port);
	assert_true(g_file_set_contents(file, text, -1, NULL));
	proc_init(&p->entry, p->dir, "entry", p->clients, argv);
	proc_start(&p->entry);
	g_free(text);
}

struct platform *
platform_start(void)
{
	struct platform *p = g_new0(struct platform, 1);
	json_t *spec;
	size_t i;

	p->dir = g_dir_make_tmp("jh-platform-XXXXXX", NULL);
	pthread_mutex_init(&p->lock, NULL);
	uv_loop_init(&p->loop);
	p->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	p->changes = g_ptr_array_new();
	p->waiters = g_ptr_array_new();
	uv_async_init(&p->loop, &p->wake, on_wake);
	uv_timer_init(&p->loop, &p->tick);
	p->wake.data = p->tick.data = p;
	uv_timer_start(&p->tick, on_tick, 50, 50);
	p->store = serve(p, &p->store_port, &store_ops, p);
	for (i = 0; i < PLATFORM_WORKERS; i++) {
		struct worker *w = &p->workers[i];
		w->platform = p;
		w->number = (unsigned int)i;
		w->weights = 1;
		w->front = serve(p, &w->port, &worker_ops, w);
		uv_timer_init(&p->loop, &w->load);
		w->load.data = w;
		list_worker(w);
	}
	spec = make_config(1, "k1");
	change(p, "config", "main", spec);
	json_decref(spec);
	pthread_create(&p->thread, NULL, run_loop, p);
	platform_name_weights(p, 1);
	start_entry(p);
	platform_await_ready(p);
	return p;
}

static void
close_handle(uv_handle_t *h, void *arg)
{
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static void
free_change(void *arg, void *unused)
{
	struct change *c = arg;

	g_free(c->kind);
	g_free(c->name);
	json_decref(c->spec);
	g_free(c);
}

static void
free_waiter(void *arg, void *unused)
{
	struct waiter *w = arg;

	g_free(w->kind);
	g_free(w);
}

void
platform_stop(struct platform *p)
{
	char *command;
	size_t i;

	if (p->entry.pid > 0)
		proc_kill(&p->entry);
	pthread_mutex_lock(&p->lock);
	p->stop = true;
	pthread_mutex_unlock(&p->lock);
	uv_async_send(&p->wake);
	pthread_join(p->thread, NULL);
	jh_front_destroy(p->store);
	for (i = 0; i < PLATFORM_WORKERS; i++)
		jh_front_destroy(p->workers[i].front);
	uv_walk(&p->loop, close_handle, NULL);
	uv_run(&p->loop, UV_RUN_DEFAULT);
	uv_loop_close(&p->loop);
	g_ptr_array_foreach(p->changes, free_change, NULL);
	g_ptr_array_foreach(p->waiters, free_waiter, NULL);
	g_ptr_array_free(p->changes, TRUE);
	g_ptr_array_free(p->waiters, TRUE);
	g_hash_table_destroy(p->objects);
	proc_clear(&p->entry);
	command = g_strdup_printf("rm -rf '%s'", p->dir);
	assert_int_equal(system(command), 0);
	g_free(command);
	g_free(p->last_head);
	g_free(p->dir);
	g_free(p);
}

static char *
ask_port(
    unsigned int port, const char *method, const char *path, const char *fields)
{
	struct sockaddr_in sin = loopback(port);
	struct timeval limit = {10, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	GString *answer = g_string_new(NULL);
	char *text = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h.example\r\n"
				     "Connection: close\r\n%s\r\n",
	    method, path, fields);
	char buf[4096];
	ssize_t n;

	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    write(fd, text, strlen(text)) == (ssize_t)strlen(text))
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			g_string_append_len(answer, buf, n);
	close(fd);
	g_free(text);
	return g_string_free(answer, FALSE);
}

void
platform_await_ready(struct platform *p)
{
	uint64_t until = jh_now() + AWAIT_USEC;

	for (;;) {
		char *answer = ask_port(p->readiness, "GET", "/readiness", "");
		unsigned int status = answer_status(answer);
		g_free(answer);
		if (status == 200)
			return;
		if (jh_now() > until)
			fail_msg("the entry was never ready");
		g_usleep(AWAIT_POLL_USEC);
	}
}

struct proc *
platform_entry(struct platform *p)
{
	return &p->entry;
}

void
platform_set_mode(
    struct platform *p, unsigned int worker, enum worker_mode mode)
{
	pthread_mutex_lock(&p->lock);
	p->workers[worker].mode = mode;
	pthread_mutex_unlock(&p->lock);
}

void
platform_set_store_status(struct platform *p, unsigned int status)
{
	pthread_mutex_lock(&p->lock);
	p->store_status = status;
	pthread_mutex_unlock(&p->lock);
}

void
platform_put(
    struct platform *p, const char *kind, const char *name, json_t *spec)
{
	pthread_mutex_lock(&p->lock);
	change(p, kind, name, spec);
	pthread_mutex_unlock(&p->lock);
	json_decref(spec);
}

void
platform_remove(struct platform *p, const char *kind, const char *name)
{
	pthread_mutex_lock(&p->lock);
	change(p, kind, name, NULL);
	pthread_mutex_unlock(&p->lock);
}

void
platform_revoke(struct platform *p, unsigned int version)
{
	platform_put(p, "config", "main", make_config(version, "k2"));
}

void
platform_name_weights(struct platform *p, unsigned int version)
{
	platform_put(p, "versions", "m1",
	    json_pack("{s:s, s:i}", "model", "m1", "version", (int)version));
}

unsigned int
platform_runs(struct platform *p, unsigned int worker)
{
	unsigned int n;

	pthread_mutex_lock(&p->lock);
	n = p->workers[worker].runs;
	pthread_mutex_unlock(&p->lock);
	return n;
}

unsigned int
platform_weights(struct platform *p, unsigned int worker)
{
	unsigned int n;

	pthread_mutex_lock(&p->lock);
	n = p->workers[worker].weights;
	pthread_mutex_unlock(&p->lock);
	return n;
}

unsigned int
platform_orders(struct platform *p)
{
	unsigned int n = 0;
	size_t i;

	pthread_mutex_lock(&p->lock);
	for (i = 0; i < PLATFORM_WORKERS; i++)
		n += p->workers[i].orders;
	pthread_mutex_unlock(&p->lock);
	return n;
}

char *
platform_last_head(struct platform *p)
{
	char *copy;

	pthread_mutex_lock(&p->lock);
	copy = g_strdup(p->last_head);
	pthread_mutex_unlock(&p->lock);
	return copy;
}

char *
platform_ask(struct platform *p, const char *method, const char *path,
    const char *fields)
{
	return ask_port(p->clients, method, path, fields);
}

unsigned int
answer_status(const char *answer)
{
	unsigned int status = 0;

	if (sscanf(answer, "HTTP/1.1 %u", &status) != 1)
		return 0;
	return status;
}
