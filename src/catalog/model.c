#include <jacinthhill/model.h>

#include "catalog/fields.h"

static const struct field table[] = {
    {.name = "name",
	.type = FIELD_NAME,
	.required = true,
	.offset = offsetof(struct jh_model, name)},
    {.name = "weights",
	.type = FIELD_NAME,
	.required = true,
	.offset = offsetof(struct jh_model, weights)},
    {.name = "aliases",
	.type = FIELD_NAMES,
	.offset = offsetof(struct jh_model, aliases)},
    {0}};

struct jh_model *
jh_model_parse(struct jh_str text, GError **err)
{
	struct jh_model *m = g_new0(struct jh_model, 1);
	GString *faults = g_string_new(NULL);

	m->refs = 1;
	json_decref(fields_read(text, table, m, faults));
	if (fields_finish(faults, err))
		return m;
	jh_model_unref(m);
	return NULL;
}

struct jh_model *
jh_model_ref(struct jh_model *m)
{
	g_atomic_int_inc(&m->refs);
	return m;
}

void
jh_model_unref(struct jh_model *m)
{
	if (m == NULL || !g_atomic_int_dec_and_test(&m->refs))
		return;
	fields_clear(table, m);
	g_free(m);
}
