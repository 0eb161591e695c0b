#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ctl/ctl.h"
#include "ctl/edit.h"
#include "ctl/in_force.h"
#include "ctl/record_file.h"

#define MAX_PAGE_ITEMS 1000

/* --version is not given. */
#define NO_VERSION (-1)

static void
print_json(struct ctl *c, json_t *o)
{
	char *text = json_dumps(o, JSON_INDENT(2));

	fprintf(c->out, "%s\n", text);
	free(text);
	json_decref(o);
}

/* Takes ownership of value. */
static json_t *
object_to_json(const char *key, uint64_t version, json_t *value)
{
	return json_pack("{s:s, s:I, s:o?}", "key", key, "version",
	    (json_int_t)version, "value", value);
}

/*
 * Appends one page of objects to out. Returns the key after which the next page
 * starts, to be freed with g_free(), or NULL after the last page or an error.
 */
static char *
list_page(struct ctl *c, const char *prefix, const char *after, json_t *out,
    int *status)
{
	struct jh_store_waiter *w = jh_store_waiter_create();
	const struct jh_store_reply *r;
	char *next = NULL;
	size_t i;

	*status = CTL_FAILED;
	if (jh_store_list(c->store, prefix, after, MAX_PAGE_ITEMS,
		ctl_deadline(c), jh_store_waiter_callback(w))) {
		r = jh_store_waiter_wait(w);
		*status = r->result == JH_STORE_OK
			      ? CTL_OK
			      : ctl_print_store_error(c, "list", r->result);
		for (i = 0; i < r->n_items; i++)
			json_array_append_new(out,
			    object_to_json(r->items[i].key, r->items[i].version,
				json_loadb(r->items[i].value.ptr,
				    r->items[i].value.len, 0, NULL)));
		if (r->more && r->n_items > 0)
			next = g_strdup(r->items[r->n_items - 1].key);
	}
	jh_store_waiter_destroy(w);
	return next;
}

static void
print_table(struct ctl *c, json_t *list)
{
	json_t *o;
	size_t i;

	fprintf(c->out, "%10s  %s\n", "VERSION", "KEY");
	json_array_foreach(list, i, o)
	{
		fprintf(c->out, "%10" JSON_INTEGER_FORMAT "  %s\n",
		    json_integer_value(json_object_get(o, "version")),
		    json_string_value(json_object_get(o, "key")));
	}
}

static int
list_all(struct ctl *c, const char *prefix)
{
	json_t *list = json_array();
	char *after = g_strdup(""), *next;
	int status;

	do {
		next = list_page(c, prefix, after, list, &status);
		g_free(after);
		after = next;
	} while (after != NULL);
	if (status == CTL_OK && c->json) {
		print_json(c, list);
		return status;
	}
	if (status == CTL_OK)
		print_table(c, list);
	json_decref(list);
	return status;
}

static int
run_list(struct ctl *c, const struct ctl_command *self, char **args)
{
	int status = ctl_parse_options(c, self, NULL, &args, 0, 1);

	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status =
		    list_all(c, args[0] == NULL ? JH_RECORD_PREFIXES : args[0]);
	g_strfreev(args);
	return status;
}

static int
print_object(struct ctl *c, const char *key, const struct jh_store_reply *r)
{
	json_t *value = json_loadb(r->value.ptr, r->value.len, 0, NULL);
	char *text;

	if (value == NULL) {
		fprintf(c->err, "%s: the object is not valid JSON\n", key);
		return CTL_FAILED;
	}
	if (c->json) {
		print_json(c, object_to_json(key, r->version, value));
		return CTL_OK;
	}
	text = record_file_format(key, r->version, value);
	fputs(text, c->out);
	g_free(text);
	json_decref(value);
	return CTL_OK;
}

static int
show_object(struct ctl *c, const char *key)
{
	struct jh_store_waiter *w = jh_store_waiter_create();
	const struct jh_store_reply *r;
	int status = CTL_USAGE;

	if (!jh_store_get(
		c->store, key, ctl_deadline(c), jh_store_waiter_callback(w))) {
		fprintf(c->err, "\"%s\" is not a valid key\n", key);
	} else {
		r = jh_store_waiter_wait(w);
		status = r->result == JH_STORE_OK
			     ? print_object(c, key, r)
			     : ctl_print_store_error(c, key, r->result);
	}
	jh_store_waiter_destroy(w);
	return status;
}

static int
run_show(struct ctl *c, const struct ctl_command *self, char **args)
{
	int status = ctl_parse_options(c, self, NULL, &args, 1, 1);

	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status = show_object(c, args[0]);
	g_strfreev(args);
	return status;
}

/* Prints both conflicting edits, so that the operator can merge them. */
static void
print_conflict(
    struct ctl *c, const struct edit *e, const struct edit_outcome *o)
{
	json_t *yours = e->text == NULL ? NULL : json_loads(e->text, 0, NULL);
	json_t *current = json_loads(o->current, 0, NULL);
	char *text;

	if (c->json) {
		print_json(c,
		    json_pack("{s:s, s:o, s:o}", "result", "conflict", "yours",
			object_to_json(e->key, e->if_version, yours), "current",
			object_to_json(e->key, o->version, current)));
		return;
	}
	fprintf(c->err,
	    "%s: not changed: you read version %" G_GUINT64_FORMAT
	    ", but the object now has version %" G_GUINT64_FORMAT "\n",
	    e->key, e->if_version, o->version);
	fprintf(c->out, "# yours\n");
	if (yours == NULL) {
		fprintf(c->out, "# delete\n");
	} else {
		text = record_file_format(e->key, e->if_version, yours);
		fputs(text, c->out);
		g_free(text);
	}
	fprintf(c->out, "# now in the store\n");
	if (current == NULL) {
		fprintf(c->out, "# deleted\n");
	} else {
		text = record_file_format(e->key, o->version, current);
		fputs(text, c->out);
		g_free(text);
	}
	json_decref(yours);
	json_decref(current);
}

/*
 * Makes the edit and prints its outcome. Stores the object's version in
 * *version, which may be NULL. Returns an exit code.
 */
static int
make_edit(struct ctl *c, const struct edit *e, uint64_t *version)
{
	struct edit_outcome o;
	int status = CTL_OK;

	edit_run(c, e, &o);
	if (o.result == JH_STORE_CONFLICT) {
		print_conflict(c, e, &o);
		status = CTL_CONFLICT;
	} else if (o.result != JH_STORE_OK) {
		status = ctl_print_store_error(c, e->key, o.result);
		if (o.result == JH_STORE_UNKNOWN)
			fprintf(c->err,
			    "the edit may have been made; see \"jhctl catalog "
			    "show %s\"\n",
			    e->key);
	} else if (c->json) {
		print_json(
		    c, json_pack("{s:s, s:s, s:I}", "result", "ok", "key",
			   e->key, "version", (json_int_t)o.version));
	} else {
		fprintf(c->out, "%s: %s, version %" G_GUINT64_FORMAT "\n",
		    e->key, e->text == NULL ? "deleted" : "applied", o.version);
	}
	g_free(o.current);
	if (version != NULL)
		*version = o.version;
	return status;
}

static int
apply(struct ctl *c, const char *path, gint64 version, bool wait)
{
	struct record_file r;
	GError *err = NULL;
	uint64_t made_version = 0;
	struct edit e;
	int status;

	if (!record_file_load(path, &r, &err)) {
		fprintf(c->err, "%s\n", err->message);
		g_error_free(err);
		return CTL_FAILED;
	}
	e.key = r.key;
	e.text = r.text;
	e.if_version = version == NO_VERSION ? r.version : (uint64_t)version;
	status = make_edit(c, &e, &made_version);
	record_file_clear(&r);
	if (status == CTL_OK && wait)
		status = ctl_in_force(c, made_version, CTL_IN_FORCE_TIMEOUT_MS);
	return status;
}

static int
run_apply(struct ctl *c, const struct ctl_command *self, char **args)
{
	gint64 version = NO_VERSION;
	gboolean wait = FALSE;
	const GOptionEntry extra[] = {
	    {"wait", 'w', 0, G_OPTION_ARG_NONE, &wait,
		"Wait until every live instance has the edit; see in-force",
		NULL},
	    {"version", 'v', 0, G_OPTION_ARG_INT64, &version,
		"Version that you read (default: the file's, or 0, which "
		"means that the object must not exist)",
		"N"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse_options(c, self, extra, &args, 1, 1);

	if (status == CTL_CONTINUE && version < NO_VERSION)
		status = CTL_USAGE;
	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status = apply(c, args[0], version, wait);
	g_strfreev(args);
	return status;
}

static int
delete_object(struct ctl *c, const char *key, gint64 version)
{
	struct edit e = {key, NULL, (uint64_t)version};

	if (jh_record_kind_of(key) == JH_RECORD_OTHER) {
		fprintf(c->err, "\"%s\" is not a key of the catalogue\n", key);
		return CTL_USAGE;
	}
	return make_edit(c, &e, NULL);
}

static int
run_delete(struct ctl *c, const struct ctl_command *self, char **args)
{
	gint64 version = NO_VERSION;
	const GOptionEntry extra[] = {
	    {"version", 'v', 0, G_OPTION_ARG_INT64, &version,
		"Version that you read (required)", "N"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse_options(c, self, extra, &args, 1, 1);

	if (status == CTL_CONTINUE && version <= 0) {
		fprintf(c->err, "delete needs --version, from \"jhctl catalog "
				"show\"\n");
		status = CTL_USAGE;
	}
	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status = delete_object(c, args[0], version);
	g_strfreev(args);
	return status;
}

const struct ctl_command ctl_catalog_commands[] = {
    {"catalog list", "[PREFIX]", "List catalogue objects", run_list},
    {"catalog show", "KEY", "Show one object as a catalogue file", run_show},
    {"catalog apply", "FILE", "Create or change an object", run_apply},
    {"catalog delete", "KEY", "Delete an object", run_delete}, {0}};
