#include <stdlib.h>
#include <string.h>

#include "ctl/record_file.h"
#include "ctl/record_table.h"

static char *
find_in_json(const char *text)
{
	json_t *o = json_loads(text, 0, NULL);
	char *name = g_strdup(json_string_value(json_object_get(o, "record")));

	json_decref(o);
	return name;
}

static char *
find_in_yaml(const char *text)
{
	GRegex *regex =
	    g_regex_new("^[\"']?record[\"']?\\s*:\\s*[\"']?([a-z]+)",
		G_REGEX_MULTILINE, 0, NULL);
	GMatchInfo *match;
	char *name = NULL;

	if (g_regex_match(regex, text, 0, &match))
		name = g_match_info_fetch(match, 1);
	g_match_info_free(match);
	g_regex_unref(regex);
	return name;
}

/* Returns the value of "record" at the top level, or NULL. */
static char *
find_record_name(const char *text)
{
	char *name;

	/* The regular expression needs valid UTF-8. */
	if (!g_utf8_validate(text, -1, NULL))
		return NULL;
	name = find_in_json(text);
	return name != NULL ? name : find_in_yaml(text);
}

bool
record_file_is_record(const char *text)
{
	char *name = find_record_name(text);
	bool found = name != NULL;

	g_free(name);
	return found;
}

/* Puts the file's name in front of each line of the codec's message. */
static void
prefix_errors(GError **err, const char *path)
{
	char **lines, *joined, *separator, *all;

	if (err == NULL || *err == NULL)
		return;
	lines = g_strsplit((*err)->message, "\n", -1);
	separator = g_strconcat("\n", path, ": ", NULL);
	joined = g_strjoinv(separator, lines);
	all = g_strconcat(path, ": ", joined, NULL);
	g_free((*err)->message);
	(*err)->message = all;
	g_free(joined);
	g_free(separator);
	g_strfreev(lines);
}

static bool
set_key_and_text(struct record_file *out, enum jh_record_kind kind,
    const char *path, GError **err)
{
	char *text = json_dumps(out->value, JSON_COMPACT);
	struct jh_str s;

	out->text = g_strdup(text);
	free(text);
	s = jh_str_from(out->text);
	out->key = jh_record_key(kind, s);
	if (jh_record_check(out->key, s, err))
		return true;
	prefix_errors(err, path);
	return false;
}

static bool
parse_text(const char *path, const char *text, gsize len,
    struct record_file *out, GError **err)
{
	char *name = find_record_name(text);
	enum jh_record_kind kind =
	    name == NULL ? JH_RECORD_OTHER : record_table_find(name);
	const struct record_table *t = record_table_of(kind);
	void *fields;
	bool ok;

	g_free(name);
	if (t == NULL) {
		g_set_error(err, JH_SETTINGS_ERROR, JH_SETTINGS_ERROR_INVALID,
		    "%s:1: the key record must be entry, organisation or model",
		    path);
		return false;
	}
	fields = g_malloc0(t->size);
	ok = jh_settings_parse(path, text, len, t->table, fields, err);
	if (ok) {
		out->value = record_table_json(t->table, fields);
		out->version = (uint64_t)record_table_version(t->table, fields);
		ok = set_key_and_text(out, kind, path, err);
	}
	jh_settings_clear(t->table, fields);
	g_free(fields);
	return ok;
}

bool
record_file_load(const char *path, struct record_file *out, GError **err)
{
	GError *cause = NULL;
	char *text;
	gsize len;
	bool ok;

	memset(out, 0, sizeof(*out));
	if (!g_file_get_contents(path, &text, &len, &cause)) {
		g_set_error(err, JH_SETTINGS_ERROR, JH_SETTINGS_ERROR_READ,
		    "cannot read the catalogue file: %s", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = parse_text(path, text, len, out, err);
	g_free(text);
	if (!ok)
		record_file_clear(out);
	return ok;
}

void
record_file_clear(struct record_file *r)
{
	g_free(r->key);
	g_free(r->text);
	json_decref(r->value);
	memset(r, 0, sizeof(*r));
}

char *
record_file_format(const char *key, uint64_t version, json_t *value)
{
	const struct record_table *t = record_table_of(jh_record_kind_of(key));
	GString *out = g_string_new(NULL);
	const char *name;
	char *text;
	json_t *v;

	g_string_append_printf(out,
	    "record: %s\nversion: %" G_GUINT64_FORMAT "\n",
	    t == NULL ? "unknown" : t->name, version);
	json_object_foreach(value, name, v)
	{
		/* JSON values are valid YAML. */
		text = json_dumps(v, JSON_ENCODE_ANY);
		g_string_append_printf(out, "%s: %s\n", name, text);
		free(text);
	}
	return g_string_free(out, FALSE);
}
