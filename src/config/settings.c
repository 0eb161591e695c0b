#include <stdio.h>
#include <string.h>

#include <sodium.h>
#include <yaml.h>

#include "config/settings.h"

struct reader {
	const char *name;
	yaml_document_t doc;
	GString *faults;
};

G_DEFINE_QUARK(jh_settings_error_quark, jh_settings_error)

static bool read_mapping(struct reader *r, yaml_node_t *node,
    const struct jh_setting *table, void *out);

static void G_GNUC_PRINTF(3, 4)
    fault(struct reader *r, const yaml_node_t *node, const char *fmt, ...)
{
	va_list ap;

	if (r->faults->len > 0)
		g_string_append_c(r->faults, '\n');
	g_string_append_printf(r->faults, "%s:%zu: ", r->name,
	    node == NULL ? 1 : node->start_mark.line + 1);
	va_start(ap, fmt);
	g_string_append_vprintf(r->faults, fmt, ap);
	va_end(ap);
}

static void *
member_of(void *out, const struct jh_setting *s)
{
	return (char *)out + s->offset;
}

static bool
is_choice(const char *const *choices, const char *text)
{
	for (; *choices != NULL; choices++) {
		if (strcmp(*choices, text) == 0)
			return true;
	}
	return false;
}

static void
set_string(struct reader *r, yaml_node_t *node, const struct jh_setting *s,
    const char *text, char **out)
{
	char *allowed;

	if (s->choices != NULL && !is_choice(s->choices, text)) {
		allowed = g_strjoinv(", ", (char **)s->choices);
		fault(r, node, "%s is \"%s\"; use one of %s", s->key, text,
		    allowed);
		g_free(allowed);
		return;
	}
	if (s->required && text[0] == '\0') {
		fault(r, node, "%s is empty", s->key);
		return;
	}
	g_free(*out);
	*out = g_strdup(text);
}

static void
set_int(struct reader *r, yaml_node_t *node, const struct jh_setting *s,
    const char *text, int64_t *out)
{
	if (!g_ascii_string_to_signed(text, 10, s->min, s->max, out, NULL))
		fault(r, node,
		    "%s is \"%s\"; it must be a whole number from "
		    "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		    s->key, text, s->min, s->max);
}

static void
set_scalar(struct reader *r, yaml_node_t *node, const struct jh_setting *s,
    const char *text, void *out)
{
	size_t len = 0;

	switch (s->type) {
	case JH_SET_STRING:
		set_string(r, node, s, text, out);
		break;
	case JH_SET_INT:
		set_int(r, node, s, text, out);
		break;
	case JH_SET_BOOL:
		if (strcmp(text, "true") == 0)
			*(bool *)out = true;
		else if (strcmp(text, "false") == 0)
			*(bool *)out = false;
		else
			fault(r, node, "%s is \"%s\"; use true or false",
			    s->key, text);
		break;
	case JH_SET_ADDRESS:
		if (!jh_address_parse(text, out))
			fault(r, node,
			    "%s is \"%s\"; it must be an IPv4 address and port "
			    "such as 127.0.0.1:8080",
			    s->key, text);
		break;
	case JH_SET_HEX32:
		if (sodium_hex2bin(
			out, 32, text, strlen(text), NULL, &len, NULL) != 0 ||
		    len != 32)
			fault(r, node, "%s must be 64 hexadecimal digits",
			    s->key);
		break;
	default:
		fault(r, node, "%s must be a list", s->key);
	}
}

static void
read_strings(struct reader *r, yaml_node_t *node, const struct jh_setting *s,
    GPtrArray **out)
{
	yaml_node_item_t *i;
	yaml_node_t *item;

	if (node->type != YAML_SEQUENCE_NODE) {
		fault(r, node, "%s must be a list", s->key);
		return;
	}
	if (*out == NULL)
		*out = g_ptr_array_new_with_free_func(g_free);
	for (i = node->data.sequence.items.start;
	     i < node->data.sequence.items.top; i++) {
		item = yaml_document_get_node(&r->doc, *i);
		if (item->type != YAML_SCALAR_NODE)
			fault(r, item, "%s must hold plain values", s->key);
		else
			g_ptr_array_add(
			    *out, g_strdup((char *)item->data.scalar.value));
	}
}

static void
read_list(struct reader *r, yaml_node_t *node, const struct jh_setting *s,
    GPtrArray **out)
{
	yaml_node_item_t *i;
	void *elem;

	if (node->type != YAML_SEQUENCE_NODE) {
		fault(r, node, "%s must be a list", s->key);
		return;
	}
	if (*out == NULL)
		*out = g_ptr_array_new();
	for (i = node->data.sequence.items.start;
	     i < node->data.sequence.items.top; i++) {
		elem = g_malloc0(s->item_size);
		g_ptr_array_add(*out, elem);
		read_mapping(
		    r, yaml_document_get_node(&r->doc, *i), s->item, elem);
	}
}

static void
read_value(
    struct reader *r, yaml_node_t *node, const struct jh_setting *s, void *out)
{
	if (s->type == JH_SET_LIST)
		read_list(r, node, s, member_of(out, s));
	else if (s->type == JH_SET_STRINGS)
		read_strings(r, node, s, member_of(out, s));
	else if (node->type != YAML_SCALAR_NODE)
		fault(r, node, "%s must be a single value", s->key);
	else
		set_scalar(r, node, s, (char *)node->data.scalar.value,
		    member_of(out, s));
}

static const struct jh_setting *
find_setting(const struct jh_setting *table, const char *key)
{
	for (; table->key != NULL; table++) {
		if (strcmp(table->key, key) == 0)
			return table;
	}
	return NULL;
}

static bool
has_key(struct reader *r, yaml_node_t *node, const char *key, int limit)
{
	yaml_node_pair_t *p;
	yaml_node_t *k;
	int count = 0;

	for (p = node->data.mapping.pairs.start;
	     p < node->data.mapping.pairs.top; p++) {
		k = yaml_document_get_node(&r->doc, p->key);
		if (k->type == YAML_SCALAR_NODE &&
		    strcmp((char *)k->data.scalar.value, key) == 0)
			count++;
	}
	return count > limit;
}

static void
read_pairs(struct reader *r, yaml_node_t *node, const struct jh_setting *table,
    void *out)
{
	const struct jh_setting *s;
	yaml_node_pair_t *p;
	yaml_node_t *key;
	const char *name;

	for (p = node->data.mapping.pairs.start;
	     p < node->data.mapping.pairs.top; p++) {
		key = yaml_document_get_node(&r->doc, p->key);
		if (key->type != YAML_SCALAR_NODE) {
			fault(r, key, "a key must be a plain word");
			continue;
		}
		name = (char *)key->data.scalar.value;
		s = find_setting(table, name);
		if (s == NULL)
			fault(r, key, "unknown key \"%s\"", name);
		else if (has_key(r, node, name, 1))
			fault(r, key, "key \"%s\" is given twice", name);
		else
			read_value(r, yaml_document_get_node(&r->doc, p->value),
			    s, out);
	}
}

static bool
read_mapping(struct reader *r, yaml_node_t *node,
    const struct jh_setting *table, void *out)
{
	const struct jh_setting *s;

	if (node == NULL || node->type != YAML_MAPPING_NODE) {
		fault(r, node, "expected \"key: value\" lines");
		return false;
	}
	read_pairs(r, node, table, out);
	for (s = table; s->key != NULL; s++) {
		if (has_key(r, node, s->key, 0))
			continue;
		if (s->required)
			fault(r, node, "missing key \"%s\"", s->key);
		else if (s->type == JH_SET_LIST)
			*(GPtrArray **)member_of(out, s) = g_ptr_array_new();
		else if (s->type == JH_SET_STRINGS)
			*(GPtrArray **)member_of(out, s) =
			    g_ptr_array_new_with_free_func(g_free);
		else if (s->fallback != NULL)
			set_scalar(r, node, s, s->fallback, member_of(out, s));
	}
	return true;
}

bool
jh_settings_parse(const char *name, const char *text, size_t len,
    const struct jh_setting *table, void *out, GError **err)
{
	struct reader r = {.name = name, .faults = g_string_new(NULL)};
	yaml_parser_t parser;
	bool ok;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	if (!yaml_parser_load(&parser, &r.doc)) {
		g_string_append_printf(r.faults, "%s:%zu: %s", name,
		    parser.problem_mark.line + 1,
		    parser.problem == NULL ? "not valid YAML" : parser.problem);
	} else {
		read_mapping(
		    &r, yaml_document_get_root_node(&r.doc), table, out);
		yaml_document_delete(&r.doc);
	}
	yaml_parser_delete(&parser);
	ok = r.faults->len == 0;
	if (!ok)
		g_set_error_literal(err, JH_SETTINGS_ERROR,
		    JH_SETTINGS_ERROR_INVALID, r.faults->str);
	g_string_free(r.faults, TRUE);
	return ok;
}

bool
jh_settings_load(
    const char *path, const struct jh_setting *table, void *out, GError **err)
{
	GError *cause = NULL;
	char *text;
	gsize len;
	bool ok;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		g_set_error(err, JH_SETTINGS_ERROR, JH_SETTINGS_ERROR_READ,
		    "cannot read settings: %s", cause->message);
		g_error_free(cause);
		return false;
	}
	ok = jh_settings_parse(path, text, len, table, out, err);
	g_free(text);
	return ok;
}

static void
clear_list(const struct jh_setting *s, GPtrArray *list)
{
	guint i;

	if (list == NULL)
		return;
	for (i = 0; i < list->len; i++) {
		jh_settings_clear(s->item, list->pdata[i]);
		g_free(list->pdata[i]);
	}
	g_ptr_array_free(list, TRUE);
}

void
jh_settings_clear(const struct jh_setting *table, void *out)
{
	const struct jh_setting *s;

	for (s = table; s->key != NULL; s++) {
		if (s->type == JH_SET_STRING) {
			g_free(*(char **)member_of(out, s));
			*(char **)member_of(out, s) = NULL;
		} else if (s->type == JH_SET_LIST) {
			clear_list(s, *(GPtrArray **)member_of(out, s));
			*(GPtrArray **)member_of(out, s) = NULL;
		} else if (s->type == JH_SET_STRINGS) {
			if (*(GPtrArray **)member_of(out, s) != NULL)
				g_ptr_array_free(
				    *(GPtrArray **)member_of(out, s), TRUE);
			*(GPtrArray **)member_of(out, s) = NULL;
		}
	}
}
