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

#include "fakes/platform/settings.h"
#include "fakes/port.h"
#include "platform_fixture.h"

struct router {
	struct proc proc;
	unsigned int clients, readiness, metrics;
};

struct platform {
	struct platform_spec spec;
	char *dir;
	uv_loop_t loop;
	uv_async_t stop, crash;
	pthread_t thread;
	struct fake_objects *objects;
	unsigned int store_port;
	struct fake_worker **workers;
	struct router *routers;
};

static void
on_stop(uv_async_t *a)
{
	struct platform *p = a->data;

	uv_stop(&p->loop);
}

static void
on_crash(uv_async_t *a)
{
	struct platform *p = a->data;
	unsigned int i;

	for (i = 0; i < p->spec.workers; i++) {
		if (fake_worker_is_up(p->workers[i]))
			fake_worker_crash(p->workers[i]);
	}
}

static void *
run_loop(void *arg)
{
	struct platform *p = arg;

	uv_run(&p->loop, UV_RUN_DEFAULT);
	return NULL;
}

static json_t *
make_service(bool plain)
{
	if (plain)
		return json_pack("{s:s}", "name", "llm");
	return json_pack("{s:s, s:{s:i, s:i}}", "name", "llm", "engine",
	    "slots", 8, "kvCapacityTokens", 80000);
}

static json_t *
make_config(
    unsigned int version, const char *key, const struct platform_spec *spec)
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
	return json_pack("{s:i, s:o, s:[o], s:{s:i, s:i}, "
			 "s:[{s:s, s:[s], s:b}]}",
	    "version", (int)version, "routes", list, "services",
	    make_service(spec->plain), "limits", "headerBytes", 16384,
	    "bodyBytes", spec->body_bytes != 0 ? (int)spec->body_bytes : 65536,
	    "tenants", "name", "t1", "apiKeys", key, "isolated", 1);
}

static void
start_router(struct platform *p, unsigned int number)
{
	struct router *router = &p->routers[number];
	const char *build = getenv("BUILD");
	char *program =
	    g_strdup_printf("%s/jhplatform", build != NULL ? build : "build");
	char *name = g_strdup_printf("e%u", number + 1);
	char *file = g_strdup_printf("%s/%s.yaml", p->dir, name);
	char **argv = g_new0(char *, 3); /* owned by struct proc */
	struct fake_router_settings settings = {.name = name,
	    .store = p->store_port,
	    .grace_sec =
		p->spec.grace_sec != 0 ? p->spec.grace_sec : PLATFORM_GRACE_SEC,
	    .memory_mb = p->spec.memory_mb};

	argv[0] = program;
	argv[1] = file;
	settings.clients = router->clients = fake_port();
	settings.readiness = router->readiness = fake_port();
	settings.metrics = router->metrics = fake_port();
	assert_true(fake_router_settings_write(file, &settings));
	proc_init(&router->proc, p->dir, name, router->clients, argv);
	proc_start(&router->proc);
	g_free(name);
}

struct platform *
platform_start(void)
{
	static const struct platform_spec spec = {
	    .routers = 1, .workers = PLATFORM_WORKERS};

	return platform_create(&spec);
}

struct platform *
platform_create(const struct platform_spec *spec)
{
	struct platform *p = g_new0(struct platform, 1);
	struct fake_worker_spec worker = spec->worker;
	unsigned int i;

	p->spec = *spec;
	p->workers = g_new0(struct fake_worker *, spec->workers);
	p->routers = g_new0(struct router, spec->routers);
	p->dir = g_dir_make_tmp("jh-platform-XXXXXX", NULL);
	uv_loop_init(&p->loop);
	uv_async_init(&p->loop, &p->stop, on_stop);
	uv_async_init(&p->loop, &p->crash, on_crash);
	p->stop.data = p->crash.data = p;
	p->store_port = fake_port();
	p->objects = fake_objects_create(&p->loop, p->store_port);
	worker.service = "llm";
	worker.model = spec->plain ? NULL : "m1";
	for (i = 0; i < spec->workers; i++) {
		worker.number = i;
		worker.port = fake_port();
		p->workers[i] =
		    fake_worker_create(&p->loop, p->objects, &worker);
	}
	platform_put(p, "config", "main", make_config(1, "k1", spec));
	pthread_create(&p->thread, NULL, run_loop, p);
	if (!spec->plain)
		platform_set_weights(p, 1);
	for (i = 0; i < spec->routers; i++)
		start_router(p, i);
	platform_await_ready(p);
	return p;
}

static void
close_handle(uv_handle_t *h, void *arg)
{
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

void
platform_stop(struct platform *p)
{
	char *command;
	size_t i;

	for (i = 0; i < p->spec.routers; i++) {
		if (p->routers[i].proc.pid > 0)
			proc_kill(&p->routers[i].proc);
	}
	uv_async_send(&p->stop);
	pthread_join(p->thread, NULL);
	for (i = 0; i < p->spec.workers; i++)
		fake_worker_destroy(p->workers[i]);
	fake_objects_destroy(p->objects);
	uv_walk(&p->loop, close_handle, NULL);
	uv_run(&p->loop, UV_RUN_DEFAULT);
	uv_loop_close(&p->loop);
	for (i = 0; i < p->spec.routers; i++)
		proc_clear(&p->routers[i].proc);
	command = g_strdup_printf("%s '%s'",
	    getenv("JH_TEST_KEEP") != NULL ? "echo kept" : "rm -rf", p->dir);
	assert_int_equal(system(command), 0);
	g_free(command);
	g_free(p->dir);
	g_free(p->workers);
	g_free(p->routers);
	g_free(p);
}

static char *
send_request(
    unsigned int port, const char *method, const char *path, const char *fields)
{
	struct sockaddr_in sin = fake_loopback(port);
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

static bool
is_ready(const struct router *router)
{
	char *answer = send_request(router->readiness, "GET", "/readiness", "");
	unsigned int status = answer_status(answer);

	g_free(answer);
	return status == 200;
}

void
platform_await_ready(struct platform *p)
{
	unsigned int i;

	for (i = 0; i < p->spec.routers; i++)
		await(is_ready(&p->routers[i]));
}

unsigned int
platform_metrics_port(const struct platform *p)
{
	return p->routers[0].metrics;
}

struct proc *
platform_router(struct platform *p)
{
	return platform_router_at(p, 0);
}

struct proc *
platform_router_at(struct platform *p, unsigned int router)
{
	return &p->routers[router].proc;
}

void
platform_crash_workers(struct platform *p)
{
	uv_async_send(&p->crash);
}

void
platform_set_mode(
    struct platform *p, unsigned int worker, enum fake_worker_mode mode)
{
	fake_worker_set_mode(p->workers[worker], mode);
}

void
platform_set_rate_limit(struct platform *p, unsigned int worker, double limit)
{
	fake_worker_set_rate_limit(p->workers[worker], limit);
}

void
platform_set_store_status(struct platform *p, unsigned int status)
{
	fake_objects_set_mode(
	    p->objects, status == 0 ? OBJECTS_SERVE : OBJECTS_REFUSE, status);
}

void
platform_silence_store(struct platform *p)
{
	fake_objects_set_mode(p->objects, OBJECTS_SILENT, 0);
}

void
platform_put(
    struct platform *p, const char *kind, const char *name, json_t *spec)
{
	fake_objects_put(p->objects, kind, name, spec);
	json_decref(spec);
}

json_t *
platform_get(struct platform *p, const char *kind, const char *name)
{
	return fake_objects_get(p->objects, kind, name);
}

void
platform_remove(struct platform *p, const char *kind, const char *name)
{
	fake_objects_remove(p->objects, kind, name);
}

void
platform_configure(struct platform *p, unsigned int version, const char *key)
{
	platform_put(p, "config", "main", make_config(version, key, &p->spec));
}

void
platform_revoke(struct platform *p, unsigned int version)
{
	platform_configure(p, version, "k2");
}

void
platform_restore(struct platform *p, const struct fake_restore *spec)
{
	fake_objects_restore(p->objects, spec);
}

void
platform_set_weights(struct platform *p, unsigned int version)
{
	platform_put(p, "versions", "m1",
	    json_pack("{s:s, s:i}", "model", "m1", "version", (int)version));
}

unsigned int
platform_runs(struct platform *p, unsigned int worker)
{
	return fake_worker_runs(p->workers[worker]);
}

unsigned int
platform_crashes(struct platform *p)
{
	unsigned int n = 0, i;

	for (i = 0; i < p->spec.workers; i++)
		n += fake_worker_crashes(p->workers[i]);
	return n;
}

unsigned int
platform_crash_arrivals(struct platform *p)
{
	unsigned int n = 0, i;

	for (i = 0; i < p->spec.workers; i++)
		n += fake_worker_crash_arrivals(p->workers[i]);
	return n;
}

unsigned int
platform_misdirected(struct platform *p, unsigned int worker)
{
	return fake_worker_misdirected(p->workers[worker]);
}

unsigned int
platform_weights(struct platform *p, unsigned int worker)
{
	return fake_worker_weights(p->workers[worker]);
}

unsigned int
platform_orders(struct platform *p)
{
	unsigned int n = 0, i;

	for (i = 0; i < p->spec.workers; i++)
		n += fake_worker_orders(p->workers[i]);
	return n;
}

char *
platform_last_head(struct platform *p)
{
	char *head;
	unsigned int i;

	for (i = 0; i < p->spec.workers; i++) {
		head = fake_worker_last_head(p->workers[i]);
		if (head != NULL)
			return head;
	}
	return NULL;
}

char *
platform_ask(struct platform *p, const char *method, const char *path,
    const char *fields)
{
	return send_request(p->routers[0].clients, method, path, fields);
}

unsigned int
answer_status(const char *answer)
{
	unsigned int status = 0;

	if (sscanf(answer, "HTTP/1.1 %u", &status) != 1)
		return 0;
	return status;
}
