#include <string.h>

#include <jansson.h>

#include "ctl/ctl.h"
#include "ctl/fetch.h"

#define VIEW_PATH "/view"
#define MOST_ENTRIES 1000

/* The view of one entry, or NULL with *status set. */
static json_t *
fetch_view(struct ctl *c, const char *address, int *status)
{
	struct sockaddr_in peer;
	GString *body;
	json_t *view;

	if (!ctl_address(c, address, "10.0.0.1:9464", &peer)) {
		*status = CTL_USAGE;
		return NULL;
	}
	body = ctl_fetch(c, &peer, VIEW_PATH);
	if (body == NULL) {
		fprintf(c->err, "%s: no answer\n", address);
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
text_of(json_t *view, const char *key)
{
	const char *s = json_string_value(json_object_get(view, key));

	return s != NULL ? s : "-";
}

static json_int_t
number_of(json_t *view, const char *key)
{
	return json_integer_value(json_object_get(view, key));
}

/* The oldest answer of the store that the entry goes by; -1: none yet. */
static json_int_t
oldest(json_t *view)
{
	json_t *kind;
	const char *name;
	json_int_t age = 0, most = 0;

	json_object_foreach(json_object_get(view, "followed"), name, kind)
	{
		age = number_of(kind, "age_ms");
		if (age < 0)
			return -1;
		most = MAX(most, age);
	}
	return most;
}

static unsigned int
count_ready(json_t *workers)
{
	unsigned int n = 0;
	json_t *w;
	size_t i;

	json_array_foreach(workers, i, w)
	{
		if (strcmp(text_of(w, "state"), "ready") == 0)
			n++;
	}
	return n;
}

static void
print_head(struct ctl *c)
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
	    text_of(view, "entry"), text_of(view, "zone"),
	    json_is_true(json_object_get(view, "ready")) ? "yes" : "no",
	    (long long)number_of(view, "config_version"),
	    (long long)number_of(view, "active"),
	    (long long)number_of(view, "peers_heard"), count_ready(workers),
	    json_array_size(workers), (long long)oldest(view),
	    json_is_true(json_object_get(view, "holds_duty")) ? "yes" : "no",
	    text_of(view, "reads_from"));
}

/* Workers that get no work or less, with what the entry goes by. */
static void
print_eased(struct ctl *c, json_t *view)
{
	json_t *w;
	size_t i;

	json_array_foreach(json_object_get(view, "workers"), i, w)
	{
		if (strcmp(text_of(w, "state"), "ready") == 0)
			continue;
		fprintf(c->out,
		    "  %s: %s, %lld failures in a row, %.2f of its answers "
		    "fail, weights %lld (%lld ms ago), %lld running\n",
		    text_of(w, "id"), text_of(w, "state"),
		    (long long)number_of(w, "failures"),
		    json_number_value(json_object_get(w, "fail_share")),
		    (long long)number_of(w, "weights"),
		    (long long)number_of(w, "weights_age_ms"),
		    (long long)number_of(w, "running"));
	}
}

static int
run_view(struct ctl *c, const struct ctl_command *self, char **args)
{
	json_t *all = json_array(), *view;
	int status, failed = CTL_OK;
	size_t i;

	status = ctl_parse(c, self, NULL, &args, 1, MOST_ENTRIES);
	for (i = 0; status == CTL_GO_ON && args[i] != NULL; i++) {
		view = fetch_view(c, args[i], &failed);
		if (view != NULL)
			json_array_append_new(all, view);
	}
	if (status == CTL_GO_ON && c->json) {
		json_dumpf(all, c->out, JSON_COMPACT);
		fputc('\n', c->out);
	} else if (status == CTL_GO_ON) {
		print_head(c);
		json_array_foreach(all, i, view) print_view(c, view);
		json_array_foreach(all, i, view)
		{
			fprintf(c->out, "%s\n", text_of(view, "entry"));
			print_eased(c, view);
		}
	}
	json_decref(all);
	g_strfreev(args);
	return status == CTL_GO_ON ? failed : status;
}

const struct ctl_command ctl_view_commands[] = {
    {"view", "ADDRESS...",
	"shows what entries of the platform believe, by their metrics "
	"addresses",
	run_view},
    {0}};
