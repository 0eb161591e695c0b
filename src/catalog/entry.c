#include <string.h>

#include <jacinthhill/entry.h>

#include "catalog/fields.h"

#define MAX_RATE 1000000000000LL /* cost tokens per second */
#define MAX_CONCURRENT 1000000
#define MAX_TTFT_MS 3600000
/* A higher floor would let one class take most of what urgent work needs. */
#define MAX_FLOOR_PERCENT 50

static const char *const kinds[] = {"chat", "service", NULL};
static const char *const ranks[] = {"urgent", "background", NULL};

#define MEMBER(n, t) \
	.name = #n, .type = (t), .offset = offsetof(struct jh_catalog_entry, n)

static const struct field table[] = {
    {MEMBER(owner, FIELD_NAME), .required = true},
    {.name = "class",
	.type = FIELD_NAME,
	.required = true,
	.offset = offsetof(struct jh_catalog_entry, class_name)},
    {MEMBER(kind, FIELD_CHOICE), .required = true, .choices = kinds},
    {MEMBER(rank, FIELD_CHOICE), .required = true, .choices = ranks},
    {MEMBER(rank_ceiling, FIELD_CHOICE), .required = true, .choices = ranks},
    {MEMBER(models, FIELD_NAMES), .required = true},
    {MEMBER(cost_tokens_per_second, FIELD_INT), .required = true, .min = 1,
	.max = MAX_RATE},
    {MEMBER(concurrent_requests, FIELD_INT), .required = true, .min = 1,
	.max = MAX_CONCURRENT},
    {MEMBER(floor_percent, FIELD_INT), .max = MAX_FLOOR_PERCENT,
	.fallback = JH_ENTRY_NO_FLOOR},
    {MEMBER(idempotent, FIELD_BOOL), .required = true},
    {MEMBER(ttft_target_ms, FIELD_INT), .required = true, .min = 1,
	.max = MAX_TTFT_MS},
    {MEMBER(shared_prompts, FIELD_HASHES)},
    {MEMBER(region_shares, FIELD_CUSTOM)}, {0}};

static bool
has_region_share(const struct jh_catalog_entry *e, const char *region)
{
	size_t i;

	for (i = 0; i < e->n_region_shares; i++) {
		if (g_strcmp0(e->region_shares[i].region, region) == 0)
			return true;
	}
	return false;
}

static void
read_region_share(struct jh_catalog_entry *e, json_t *v, GString *faults)
{
	const char *region = NULL;
	json_int_t percent = -1;

	if (json_unpack(v, "{s:s, s:I !}", "region", &region, "percent",
		&percent) != 0 ||
	    !jh_record_name_valid(region) || percent < 0 || percent > 100) {
		field_fault(faults,
		    "region_shares must hold objects of a region's name and a "
		    "percent from 0 to 100");
		return;
	}
	if (has_region_share(e, region)) {
		field_fault(faults, "region_shares names \"%s\" twice", region);
		return;
	}
	e->region_shares[e->n_region_shares].region = g_strdup(region);
	e->region_shares[e->n_region_shares].percent = percent;
	e->n_region_shares++;
}

static void
read_region_shares(struct jh_catalog_entry *e, json_t *list, GString *faults)
{
	int64_t total = 0;
	json_t *v;
	size_t i;

	if (list == NULL)
		return;
	if (!json_is_array(list)) {
		field_fault(faults, "region_shares must be a list");
		return;
	}
	e->region_shares =
	    g_new0(struct jh_region_share, json_array_size(list) + 1);
	json_array_foreach(list, i, v)
	{
		read_region_share(e, v, faults);
	}
	for (i = 0; i < e->n_region_shares; i++)
		total += e->region_shares[i].percent;
	if (e->n_region_shares > 0 && total != 100)
		field_fault(faults,
		    "region_shares add up to %" G_GINT64_FORMAT
		    " percent instead of 100",
		    total);
}

static void
check_combinations(const struct jh_catalog_entry *e, GString *faults)
{
	if (e->rank < e->rank_ceiling)
		field_fault(faults, "rank is above rank_ceiling");
	if (e->models != NULL && e->models[0] == NULL)
		field_fault(faults, "models is empty");
	/*
	 * Only calls to services are recorded for at-most-once execution; a
	 * chat request may be run twice.
	 */
	if (e->kind == JH_ENTRY_CHAT && !e->idempotent)
		field_fault(faults, "idempotent must be true for kind chat");
}

struct jh_catalog_entry *
jh_catalog_entry_parse(struct jh_str text, GError **err)
{
	struct jh_catalog_entry *e = g_new0(struct jh_catalog_entry, 1);
	GString *faults = g_string_new(NULL);
	json_t *o;

	e->refs = 1;
	o = fields_read(text, table, e, faults);
	if (o != NULL)
		read_region_shares(
		    e, json_object_get(o, "region_shares"), faults);
	/* Rules between members are checked only if each member is valid. */
	if (faults->len == 0)
		check_combinations(e, faults);
	json_decref(o);
	if (fields_finish(faults, err))
		return e;
	jh_catalog_entry_unref(e);
	return NULL;
}

struct jh_catalog_entry *
jh_catalog_entry_ref(struct jh_catalog_entry *e)
{
	g_atomic_int_inc(&e->refs);
	return e;
}

void
jh_catalog_entry_unref(struct jh_catalog_entry *e)
{
	size_t i;

	if (e == NULL || !g_atomic_int_dec_and_test(&e->refs))
		return;
	fields_clear(table, e);
	for (i = 0; i < e->n_region_shares; i++)
		g_free(e->region_shares[i].region);
	g_free(e->region_shares);
	g_free(e);
}

bool
jh_catalog_entry_allows_model(
    const struct jh_catalog_entry *e, const char *model)
{
	return g_strv_contains((const char *const *)e->models, model);
}

bool
jh_catalog_entry_shares_prompt(
    const struct jh_catalog_entry *e, const char *hash_hex)
{
	return g_strv_contains(
	    (const char *const *)e->shared_prompts, hash_hex);
}

double
jh_catalog_entry_region_percent(const struct jh_catalog_entry *e,
    const char *region, unsigned int n_regions)
{
	size_t i;

	if (e->n_region_shares == 0)
		return n_regions == 0 ? 100.0 : 100.0 / n_regions;
	for (i = 0; i < e->n_region_shares; i++) {
		if (strcmp(e->region_shares[i].region, region) == 0)
			return (double)e->region_shares[i].percent;
	}
	return 0;
}
