#include <string.h>

#include <jansson.h>

#include <jacinthhill/entry.h>
#include <jacinthhill/model.h>
#include <jacinthhill/org.h>
#include <jacinthhill/record.h>

enum jh_record_kind
jh_record_kind_of(const char *key)
{
	if (g_str_has_prefix(key, JH_RECORD_PREFIX_ENTRY))
		return JH_RECORD_ENTRY;
	if (g_str_has_prefix(key, JH_RECORD_PREFIX_ORG))
		return JH_RECORD_ORG;
	if (g_str_has_prefix(key, JH_RECORD_PREFIX_MODEL))
		return JH_RECORD_MODEL;
	return JH_RECORD_OTHER;
}

char *
jh_record_key(enum jh_record_kind kind, struct jh_str text)
{
	json_t *o = json_loadb(text.ptr, text.len, 0, NULL);
	const char *name = json_string_value(json_object_get(o, "name"));
	const char *owner = json_string_value(json_object_get(o, "owner"));
	const char *class_name = json_string_value(json_object_get(o, "class"));
	char *key = NULL;

	if (kind == JH_RECORD_ENTRY && owner != NULL && class_name != NULL)
		key = g_strconcat(
		    JH_RECORD_PREFIX_ENTRY, owner, "/", class_name, NULL);
	else if (kind == JH_RECORD_ORG && name != NULL)
		key = g_strconcat(JH_RECORD_PREFIX_ORG, name, NULL);
	else if (kind == JH_RECORD_MODEL && name != NULL)
		key = g_strconcat(JH_RECORD_PREFIX_MODEL, name, NULL);
	json_decref(o);
	return key;
}

static bool
check_content(enum jh_record_kind kind, struct jh_str text, GError **err)
{
	struct jh_catalog_entry *e;
	struct jh_model *m;
	struct jh_org *o;

	switch (kind) {
	case JH_RECORD_ENTRY:
		e = jh_catalog_entry_parse(text, err);
		jh_catalog_entry_unref(e);
		return e != NULL;
	case JH_RECORD_ORG:
		o = jh_org_parse(text, err);
		jh_org_unref(o);
		return o != NULL;
	case JH_RECORD_MODEL:
		m = jh_model_parse(text, err);
		jh_model_unref(m);
		return m != NULL;
	default:
		return false;
	}
}

bool
jh_record_check(const char *key, struct jh_str text, GError **err)
{
	enum jh_record_kind kind = jh_record_kind_of(key);
	char *expected;
	bool ok;

	if (kind == JH_RECORD_OTHER) {
		g_set_error(err, JH_RECORD_ERROR, JH_RECORD_ERROR_KEY,
		    "\"%s\" is no key of the catalogue; use catalog/OWNER/"
		    "CLASS, orgs/NAME or models/NAME",
		    key);
		return false;
	}
	if (!check_content(kind, text, err))
		return false;
	expected = jh_record_key(kind, text);
	ok = strcmp(expected, key) == 0;
	if (!ok)
		g_set_error(err, JH_RECORD_ERROR, JH_RECORD_ERROR_KEY,
		    "the content belongs at \"%s\", not at \"%s\"", expected,
		    key);
	g_free(expected);
	return ok;
}
