#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include <jacinthhill/clock.h>

#include "fakes/port.h"
#include "internal.h"

/* A case that runs longer is ended. */
#define PROGRAM_LIMIT_SEC 115

#define ROUTER_PROGRAM "target/jhplatform"

void
si_cannot_run(const char *what)
{
	fprintf(stderr, "the case cannot run: %s\n", what);
	exit(SI_CANNOT_RUN);
}

bool
si_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

uint64_t
si_now(const struct si_platform *p)
{
	return (jh_now() - p->started) / JH_USEC_PER_MSEC;
}

void
si_sleep(unsigned int msec)
{
	g_usleep((gulong)msec * JH_USEC_PER_MSEC);
}

void
si_sleep_until(const struct si_platform *p, uint64_t msec)
{
	uint64_t now = si_now(p);

	if (now < msec)
		si_sleep((unsigned int)(msec - now));
}

void
si_record(struct si_platform *p, const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&p->record_lock);
	fprintf(p->record, "%8.3f ", (double)si_now(p) / 1000);
	va_start(ap, fmt);
	vfprintf(p->record, fmt, ap);
	va_end(ap);
	fputc('\n', p->record);
	fflush(p->record);
	pthread_mutex_unlock(&p->record_lock);
}

unsigned int
si_port(struct si_platform *p)
{
	unsigned int port;

	pthread_mutex_lock(&p->port_lock);
	port = fake_port();
	pthread_mutex_unlock(&p->port_lock);
	return port;
}

void
si_put(struct si_platform *p, const char *kind, const char *name, json_t *spec)
{
	uint64_t revision = fake_objects_put(p->objects, kind, name, spec);

	si_record(p, "store: %s/%s has revision %" G_GUINT64_FORMAT, kind, name,
	    revision);
	json_decref(spec);
}

static json_t *
make_route(const char *name, const char *prefix, const char *kind,
    const char *service, int resumable)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:i, s:b, "
			 "s:b, s:i}",
	    "name", name, "host", SI_HOST, "pathPrefix", prefix, "kind", kind,
	    "timeoutMs", 8000, "targetLatencyMs", 500, "service", service,
	    "attempts", resumable ? 2 : 1, "priority", 1, "resumable",
	    resumable, "sticky", strcmp(service, "llm") == 0, "targetGapMs",
	    400);
}

static json_t *
make_config(void)
{
	return json_pack("{s:i, s:[o, o, o, o], s:[{s:s, s:{s:i, s:i}}, "
			 "{s:s}], s:{s:i, s:i, s:i, s:i}, s:[{s:s, s:[s]}]}",
	    "version", 3, "routes",
	    make_route("pay", "/pay/", "non_idempotent", "app", 0),
	    make_route("read", "/read/", "idempotent", "app", 0),
	    make_route("chat", "/chat/", "streaming", "llm", 1),
	    make_route("once", "/once/", "streaming", "llm", 0), "services",
	    "name", "llm", "engine", "slots", 96, "kvCapacityTokens", 83645,
	    "name", "app", "limits", "headerBytes", 16384, "bodyBytes", 262144,
	    "headerTimeoutMs", 5000, "idleTimeoutMs", 20000, "tenants", "name",
	    "t1", "apiKeys", SI_KEY);
}

static void *
run_loop(void *arg)
{
	uv_run(arg, UV_RUN_DEFAULT);
	return NULL;
}

struct si_platform *
si_start(const char *record_path)
{
	struct si_platform *p = g_new0(struct si_platform, 1);

	signal(SIGPIPE, SIG_IGN);
	alarm(PROGRAM_LIMIT_SEC);
	p->started = jh_now();
	p->record = fopen(record_path, "w");
	p->dir = g_dir_make_tmp("jh-review-XXXXXX", NULL);
	if (p->record == NULL || p->dir == NULL)
		si_cannot_run("no record or temporary folder");
	if (access(ROUTER_PROGRAM, X_OK) != 0)
		si_cannot_run(ROUTER_PROGRAM " is missing");
	pthread_mutex_init(&p->record_lock, NULL);
	pthread_mutex_init(&p->port_lock, NULL);
	uv_loop_init(&p->loop);
	p->store_port = si_port(p);
	p->objects = fake_objects_create(&p->loop, p->store_port);
	if (pthread_create(&p->thread, NULL, run_loop, &p->loop) != 0)
		si_cannot_run("no thread");
	si_put(p, "config", "main", make_config());
	si_put(p, "versions", "m1",
	    json_pack("{s:s, s:i}", "model", "m1", "version", 1));
	return p;
}

int
si_stop(struct si_platform *p, int code)
{
	unsigned int i;

	for (i = 0; i < p->n_routers; i++) {
		si_router_kill(p, i);
		g_unlink(p->routers[i].settings);
		g_unlink(p->routers[i].log);
	}
	g_rmdir(p->dir);
	si_record(p, "the case ends with %d", code);
	fclose(p->record);
	return code;
}

static void
write_settings(struct si_platform *p, struct router *r, unsigned int number)
{
	char *text = g_strdup_printf(
	    "name: \"frontend-%u\"\nzone: \"z0\"\nzones:\n  - name: \"z0\"\n"
	    "    region: \"r0\"\ngossip: \"127.0.0.1:%u\"\n"
	    "clients: \"127.0.0.1:%u\"\nreadiness: \"127.0.0.1:%u\"\n"
	    "metrics: \"127.0.0.1:%u\"\nstore: \"127.0.0.1:%u\"\n"
	    "memory_mb: 110\ndescriptors: 4100\ngrace_s: \"8\"\n"
	    "repeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
	    "repeat_window_s: \"10\"\nholders_apart_ms: 3000\n",
	    number, si_port(p), r->clients, r->readiness, si_port(p),
	    p->store_port);

	if (!g_file_set_contents(r->settings, text, -1, NULL))
		si_cannot_run("cannot write the settings");
	g_free(text);
}

static void
exec_router(const struct router *r)
{
	char *argv[] = {(char *)ROUTER_PROGRAM, r->settings, NULL};

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (freopen(r->log, "a", stdout) == NULL)
		_exit(SI_CANNOT_RUN);
	execv(ROUTER_PROGRAM, argv);
	_exit(SI_CANNOT_RUN);
}

void
si_router_restart(struct si_platform *p, unsigned int router)
{
	struct router *r = &p->routers[router];

	r->pid = fork();
	if (r->pid == 0)
		exec_router(r);
	if (r->pid < 0)
		si_cannot_run("cannot start a router");
	si_record(p, "router %u: started", router);
}

unsigned int
si_router_start(struct si_platform *p)
{
	unsigned int number = p->n_routers++;
	struct router *r = &p->routers[number];

	if (number >= MAX_ROUTERS)
		si_cannot_run("too many routers");
	r->clients = si_port(p);
	r->readiness = si_port(p);
	r->settings = g_strdup_printf("%s/%u.yaml", p->dir, number);
	r->log = g_strdup_printf("%s/%u.log", p->dir, number);
	write_settings(p, r, number);
	si_router_restart(p, number);
	return number;
}

void
si_router_kill(struct si_platform *p, unsigned int router)
{
	struct router *r = &p->routers[router];

	if (r->pid <= 0)
		return;
	kill(r->pid, SIGKILL);
	waitpid(r->pid, NULL, 0);
	r->pid = 0;
	si_record(p, "router %u: killed", router);
}
