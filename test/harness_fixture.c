#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <sodium.h>

#include "fakes/port.h"
#include "harness.h"

static char *
program_path(const char *name)
{
	return g_strdup_printf("%s/%s", proc_build_dir(), name);
}

/* A NULL-terminated argument vector; rest ends at n or the first NULL. */
static char **
make_argv(const char *name, const char *const *rest, size_t n)
{
	GPtrArray *list = g_ptr_array_new();
	size_t i;

	g_ptr_array_add(list, program_path(name));
	for (i = 0; i < n && rest[i] != NULL; i++)
		g_ptr_array_add(list, g_strdup(rest[i]));
	g_ptr_array_add(list, NULL);
	return (char **)g_ptr_array_free(list, FALSE);
}

static void
start_store(struct fixture *w)
{
	unsigned int port = fake_port();
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	const char *args[] = {"--listen", address};

	proc_init(&w->store, w->dir, "store", port,
	    make_argv("fake-store", args, G_N_ELEMENTS(args)));
	proc_start(&w->store);
	proc_await(&w->store);
	g_free(address);
}

static json_t *
instance_json(
    const char *id, const char *role, unsigned int port, unsigned int rpc_port)
{
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	char *rpc = g_strdup_printf("127.0.0.1:%u", rpc_port);
	json_t *row;

	row = json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:[], s:b}", "id", id,
	    "role", role, "address", address, "rpc_address", rpc, "zone",
	    "mtl-a", "region", "montreal", "models", "leaving", 0);
	g_free(address);
	g_free(rpc);
	return row;
}

static json_t *
agent_json(const struct fixture *w, unsigned int i)
{
	const struct proc *p = &w->agent[i];
	json_t *row = instance_json(p->name, "agent", p->port, w->rpc_port[i]);

	if (i < w->engines)
		json_array_append_new(
		    json_object_get(row, "models"), json_string("small"));
	else
		json_object_set_new(row, "service", json_string("pay"));
	json_object_set_new(row, "leaving", json_boolean(w->leaving[i]));
	return row;
}

static json_t *
instances_json(const struct fixture *w)
{
	json_t *rows = json_array();
	unsigned int i;

	for (i = 0; i < w->entries; i++)
		json_array_append_new(
		    rows, instance_json(w->entry[i].name, "entry",
			      w->entry[i].port, w->entry_rpc[i]));
	for (i = 0; i < w->agents; i++) {
		if (w->listed[i])
			json_array_append_new(rows, agent_json(w, i));
	}
	return rows;
}

void
fixture_publish_instances(struct fixture *w)
{
	json_t *removed = json_array(), *request;
	unsigned int i;
	char *text;

	for (i = 0; i < w->agents; i++) {
		if (!w->listed[i])
			json_array_append_new(
			    removed, json_string(w->agent[i].name));
	}
	request = json_pack(
	    "{s:o, s:o}", "add", instances_json(w), "remove", removed);
	text = json_dumps(request, 0);
	control_set(&w->list, text);
	free(text);
	json_decref(request);
}

/*
 * Daemons treat the list as authoritative once it responds, so it starts with
 * its instances and is never empty.
 */
static void
start_list(struct fixture *w)
{
	char *path = g_build_filename(w->dir, "instances.json", NULL);
	char *address = g_strdup_printf("127.0.0.1:%u", w->list.port);
	const char *args[] = {"--listen", address, "--instances", path};
	json_t *root = json_pack("{s:o}", "instances", instances_json(w));

	assert_int_equal(json_dump_file(root, path, JSON_INDENT(1)), 0);
	json_decref(root);
	w->list.argv = make_argv("fake-list", args, G_N_ELEMENTS(args));
	proc_start(&w->list);
	proc_await(&w->list);
	g_free(path);
	g_free(address);
}

/* Writes the settings file of a daemon and returns its path. */
static char *
write_settings(struct fixture *w, const char *name, unsigned int port,
    unsigned int rpc_port, const char *extra)
{
	char *file = g_strdup_printf("%s/%s.yaml", w->dir, name);
	char *text = g_strdup_printf(
	    "instance: %s\navailability_zone: mtl-a\nregion: montreal\n"
	    "listen: 127.0.0.1:%u\nrpc_listen: 127.0.0.1:%u\nsecret: %s\n"
	    "store: 127.0.0.1:%u\ninstance_list: 127.0.0.1:%u\n%s",
	    name, port, rpc_port, FIXTURE_SECRET, w->store.port, w->list.port,
	    extra == NULL ? "" : extra);

	assert_true(g_file_set_contents(file, text, -1, NULL));
	g_free(text);
	return file;
}

static void
prepare_daemon(struct fixture *w, struct proc *p, const char *program,
    const char *name, unsigned int rpc_port, const char *extra)
{
	unsigned int port = fake_port();
	char *file = write_settings(w, name, port, rpc_port, extra);
	const char *args[] = {"--settings", file};

	proc_init(p, w->dir, name, port,
	    make_argv(program, args, G_N_ELEMENTS(args)));
	g_free(file);
}

static void
start_backend(
    struct fixture *w, unsigned int i, const struct fixture_spec *spec)
{
	unsigned int port = fake_port();
	bool engine = i < spec->engines;
	char *name = g_strdup_printf("backend-%u", i);
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	const char *args[2 + G_N_ELEMENTS(spec->engine_args)] = {
	    "--listen", address};

	memcpy(args + 2, engine ? spec->engine_args : spec->service_args,
	    sizeof(spec->engine_args));
	proc_init(&w->backend[i], w->dir, name, port,
	    make_argv(engine ? "fake-engine" : "fake-service", args,
		G_N_ELEMENTS(args)));
	proc_start(&w->backend[i]);
	g_free(name);
	g_free(address);
}

static void
start_agent(struct fixture *w, unsigned int i, bool engine)
{
	char *name = g_strdup_printf("worker-%u", i);
	char *extra = g_strdup_printf("backend: 127.0.0.1:%u\nkind: %s\n%s",
	    w->backend[i].port, engine ? "engine" : "service",
	    engine ? "" : "service: pay\n");

	w->rpc_port[i] = fake_port();
	prepare_daemon(w, &w->agent[i], "jhagent", name, w->rpc_port[i], extra);
	proc_start(&w->agent[i]);
	w->listed[i] = true;
	g_free(name);
	g_free(extra);
}

static void
fill_catalogue(struct fixture *w)
{
	static const char *const orgs[] = {"alpha", "beta"};
	size_t i;

	store_put(w, "models/small", "{\"name\":\"small\",\"weights\":\"v1\"}");
	for (i = 0; i < G_N_ELEMENTS(orgs); i++) {
		put_org(w, orgs[i], false);
		put_class(w, orgs[i], "chat", "chat", "small", true);
		put_class(w, orgs[i], "pay", "service", "pay", false);
		put_class(w, orgs[i], "look", "service", "pay", true);
	}
}

/*
 * Sends a request that the deployment can serve; returns the status. Without
 * engines it is a call of the idempotent class.
 */
static unsigned int
probe(struct fixture *w, unsigned int entry)
{
	static unsigned int count;
	char *chat = chat_body("ready?", 1, false);
	char *service_body = g_strdup_printf("{\"probe\":%u}", ++count);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/chat/completions",
	    .key = "key-alpha",
	    .body = chat};
	struct call *c;
	unsigned int status;

	if (w->engines == 0) {
		spec.path = "/v1/services/pay/ready";
		spec.headers[0] = "X-Class: look";
		spec.body = service_body;
	}
	c = call_run(&spec);
	status = call_status(c);
	call_free(c);
	g_free(chat);
	g_free(service_body);
	return status;
}

void
fixture_await_entry(struct fixture *w, unsigned int entry)
{
	await(probe(w, entry) == 200);
}

static void
count_probe_runs(struct fixture *w)
{
	unsigned int i;

	for (i = w->engines; i < w->agents; i++)
		w->probe_runs[i] =
		    control_integer(&w->backend[i], "/control", "total");
}

void
fixture_start_entries(struct fixture *w)
{
	unsigned int i;

	for (i = 0; i < w->entries; i++)
		proc_start(&w->entry[i]);
	for (i = 0; i < w->entries; i++)
		fixture_await_entry(w, i);
	count_probe_runs(w);
}

struct fixture *
fixture_create(const struct fixture_spec *spec)
{
	struct fixture *w = g_new0(struct fixture, 1);
	unsigned int i;
	char *name;

	assert_int_equal(curl_global_init(CURL_GLOBAL_DEFAULT), CURLE_OK);
	assert_true(sodium_init() >= 0);
	w->dir = g_dir_make_tmp("jh-test-XXXXXX", NULL);
	assert_non_null(w->dir);
	w->entries = spec->entries;
	w->engines = spec->engines;
	w->agents = spec->engines + spec->services;
	assert_true(w->entries <= FIXTURE_MAX && w->agents <= FIXTURE_MAX);
	start_store(w);
	fill_catalogue(w);
	proc_init(&w->list, w->dir, "list", fake_port(), NULL);
	for (i = 0; i < w->agents; i++) {
		start_backend(w, i, spec);
		start_agent(w, i, i < spec->engines);
	}
	for (i = 0; i < w->entries; i++) {
		name = g_strdup_printf("entry-%u", i);
		w->entry_rpc[i] = fake_port();
		prepare_daemon(w, &w->entry[i], "jhentry", name,
		    w->entry_rpc[i], spec->entry_settings);
		g_free(name);
	}
	start_list(w);
	for (i = 0; i < w->agents; i++) {
		proc_await(&w->backend[i]);
		proc_await(&w->agent[i]);
	}
	if (!spec->defer_entries)
		fixture_start_entries(w);
	return w;
}

static void
remove_dir(const char *path)
{
	GDir *d = g_dir_open(path, 0, NULL);
	const char *name;
	char *file;

	while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
		file = g_build_filename(path, name, NULL);
		g_unlink(file);
		g_free(file);
	}
	if (d != NULL)
		g_dir_close(d);
	g_rmdir(path);
}

void
fixture_destroy(struct fixture *w)
{
	unsigned int i;

	if (w == NULL)
		return;
	for (i = 0; i < w->entries; i++)
		proc_clear(&w->entry[i]);
	for (i = 0; i < w->agents; i++) {
		proc_clear(&w->agent[i]);
		proc_clear(&w->backend[i]);
	}
	proc_clear(&w->list);
	proc_clear(&w->store);
	if (g_getenv("JH_TEST_KEEP") != NULL)
		print_message("logs are in %s\n", w->dir);
	else
		remove_dir(w->dir);
	g_free(w->dir);
	g_free(w);
}

unsigned int
fixture_agent(const struct fixture *w, const char *instance)
{
	unsigned int i;

	for (i = 0; i < w->agents; i++) {
		if (g_strcmp0(w->agent[i].name, instance) == 0)
			return i;
	}
	fail_msg("no agent is named %s", instance);
	return 0;
}
