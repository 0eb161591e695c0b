#include <string.h>

#include <jansson.h>

#include "ctl/ctl.h"
#include "ctl/fetch.h"

#define VIEW_PATH "/view"
#define MAX_ENTRIES 1000

/* Returns the view of one router, or NULL with *status set to the exit code. */
static json_t *
fetch_view(struct ctl *c, const char *address, int *status)
{
	struct sockaddr_in peer;
	GString *body;
	json_t *view;

	if (!ctl_parse_address(c, address, "10.0.0.1:9464", &peer)) {
		*status = CTL_USAGE;
		return NULL;
	}
	body = ctl_fetch(c, &peer, VIEW_PATH);
	if (body == NULL) {
		fprintf(c->err, "%s: no response\n", address);
		*status = CTL_UNAVAILABLE;
		return NULL;
	}
	view = json_loadb(body->str, body->len, 0, NULL);
	g_string_free(body, TRUE);
	if (!json_is_object(view)) {
		fprintf(c->err, "%s: the view is not valid JSON\n", address);
		*status = CTL_FAILED;
		json_decref(view);
		return NULL;
	}
	return view;
}

static const char *
get_string(json_t *view, const char *key)
{
	const char *s = json_string_value(json_object_get(view, key));

	return s != NULL ? s : "-";
}

static json_int_t
get_integer(json_t *view, const char *key)
{
	return json_integer_value(json_object_get(view, key));
}

/*
 * Milliseconds since the store's last response, for the kind of object where
 * that is longest ago; -1 if a kind has had no response yet.
 */
static json_int_t
oldest_age(json_t *view)
{
	json_t *kind;
	const char *name;
	json_int_t age = 0, max_age = 0;

	json_object_foreach(json_object_get(view, "followed"), name, kind)
	{
		age = get_integer(kind, "age_ms");
		if (age < 0)
			return -1;
		max_age = MAX(max_age, age);
	}
	return max_age;
}

static unsigned int
count_ready(json_t *workers)
{
	unsigned int n = 0;
	json_t *w;
	size_t i;

	json_array_foreach(workers, i, w)
	{
		if (strcmp(get_string(w, "state"), "ready") == 0)
			n++;
	}
	return n;
}

static void
print_header(struct ctl *c)
{
	fprintf(c->out, "%-24s %-10s %-6s %7s %7s %6s %9s %8s %-4s  %s\n",
	    "entry", "zone", "ready", "config", "active", "peers", "workers",
	    "age ms", "duty", "reads from");
}

static void
print_view(struct ctl *c, json_t *view)
{
	json_t *workers = json_object_get(view, "workers");

	fprintf(c->out,
	    "%-24s %-10s %-6s %7lld %7lld %6lld %4u/%-4zu %8lld %-4s  %s\n",
	    get_string(view, "entry"), get_string(view, "zone"),
	    json_is_true(json_object_get(view, "ready")) ? "yes" : "no",
	    (long long)get_integer(view, "config_version"),
	    (long long)get_integer(view, "active"),
	    (long long)get_integer(view, "peers_heard"), count_ready(workers),
	    json_array_size(workers), (long long)oldest_age(view),
	    json_is_true(json_object_get(view, "holds_duty")) ? "yes" : "no",
	    get_string(view, "reads_from"));
}

static void
print_models(struct ctl *c, json_t *models)
{
	json_t *m;
	size_t i;

	json_array_foreach(models, i, m)
	{
		fprintf(c->out, ", weights %lld of %s (%lld ms ago)",
		    (long long)get_integer(m, "weights"), get_string(m, "name"),
		    (long long)get_integer(m, "weights_age_ms"));
	}
}

/* Prints the workers that get no requests or fewer, with the reasons. */
static void
print_not_ready(struct ctl *c, json_t *view)
{
	json_t *w;
	size_t i;

	json_array_foreach(json_object_get(view, "workers"), i, w)
	{
		if (strcmp(get_string(w, "state"), "ready") == 0)
			continue;
		fprintf(c->out,
		    "  %s: %s, %lld failures in a row, %.2f of its "
		    "responses fail, %lld running",
		    get_string(w, "id"), get_string(w, "state"),
		    (long long)get_integer(w, "failures"),
		    json_number_value(json_object_get(w, "fail_share")),
		    (long long)get_integer(w, "running"));
		print_models(c, json_object_get(w, "models"));
		fputc('\n', c->out);
	}
}

static int
run_view(struct ctl *c, const struct ctl_command *self, char **args)
{
	json_t *views = json_array(), *view;
	int status, fetch_status = CTL_OK;
	size_t i;

	status = ctl_parse_options(c, self, NULL, &args, 1, MAX_ENTRIES);
	for (i = 0; status == CTL_CONTINUE && args[i] != NULL; i++) {
		view = fetch_view(c, args[i], &fetch_status);
		if (view != NULL)
			json_array_append_new(views, view);
	}
	if (status == CTL_CONTINUE && c->json) {
		json_dumpf(views, c->out, JSON_COMPACT);
		fputc('\n', c->out);
	} else if (status == CTL_CONTINUE) {
		print_header(c);
		json_array_foreach(views, i, view) print_view(c, view);
		json_array_foreach(views, i, view)
		{
			fprintf(c->out, "%s\n", get_string(view, "entry"));
			print_not_ready(c, view);
		}
	}
	json_decref(views);
	g_strfreev(args);
	return status == CTL_CONTINUE ? fetch_status : status;
}

const struct ctl_command ctl_view_commands[] = {
    {"view", "ADDRESS...",
	"Show the state of routers of the platform, by their metrics "
	"addresses",
	run_view},
    {0}};
