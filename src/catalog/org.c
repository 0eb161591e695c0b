#include <jacinthhill/org.h>

#include "catalog/fields.h"

static const struct field table[] = {
    {.name = "name",
	.type = FIELD_NAME,
	.required = true,
	.offset = offsetof(struct jh_org, name)},
    {.name = "display_name",
	.type = FIELD_TEXT,
	.required = true,
	.offset = offsetof(struct jh_org, display_name)},
    {.name = "disabled",
	.type = FIELD_BOOL,
	.offset = offsetof(struct jh_org, disabled)},
    {.name = "key_hashes",
	.type = FIELD_HASHES,
	.required = true,
	.offset = offsetof(struct jh_org, key_hashes)},
    {0}};

struct jh_org *
jh_org_parse(struct jh_str text, GError **err)
{
	struct jh_org *o = g_new0(struct jh_org, 1);
	GString *faults = g_string_new(NULL);

	o->refs = 1;
	json_decref(fields_read(text, table, o, faults));
	if (fields_finish(faults, err))
		return o;
	jh_org_unref(o);
	return NULL;
}

struct jh_org *
jh_org_ref(struct jh_org *o)
{
	g_atomic_int_inc(&o->refs);
	return o;
}

void
jh_org_unref(struct jh_org *o)
{
	if (o == NULL || !g_atomic_int_dec_and_test(&o->refs))
		return;
	fields_clear(table, o);
	g_free(o);
}
