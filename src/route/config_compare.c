#include <string.h>

#include <arpa/inet.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "route/config_check.h"

/*
 * Both tables are translated into entries, each with the same list of fields
 * for its kind, which are then compared as text.
 */

static const char *const kind_texts[] = {
    [JH_ROUTE_IDEMPOTENT] = "idempotent",
    [JH_ROUTE_NON_IDEMPOTENT] = "not idempotent",
    [JH_ROUTE_STREAM] = "stream",
};

/* Field names and values alternate. */
static GPtrArray *
add_entry(GHashTable *entries, char *name)
{
	GPtrArray *fields = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_replace(entries, name, fields);
	return fields;
}

static void add_field(GPtrArray *fields, const char *name, const char *format,
    ...) G_GNUC_PRINTF(3, 4);

static void
add_field(GPtrArray *fields, const char *name, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(fields, g_strdup(name));
	g_ptr_array_add(fields, g_strdup_vprintf(format, args));
	va_end(args);
}

static void
add_number(GPtrArray *fields, const char *name, uint64_t value)
{
	add_field(fields, name, "%llu", (unsigned long long)value);
}

static void
add_msec(GPtrArray *fields, const char *name, uint64_t usec)
{
	add_field(fields, name, "%llu ms",
	    (unsigned long long)(usec / JH_USEC_PER_MSEC));
}

static void
add_yes_no(GPtrArray *fields, const char *name, bool value)
{
	add_field(fields, name, "%s", value ? "yes" : "no");
}

static char *
format_shares(const struct jh_route *r)
{
	GString *s = g_string_new(NULL);
	guint i;

	for (i = 0; i < r->shares->len; i++) {
		const struct jh_route_share *share =
		    &g_array_index(r->shares, struct jh_route_share, i);
		g_string_append_printf(s, "%s%s %u", i > 0 ? ", " : "",
		    share->service, share->weight);
	}
	return g_string_free(s, FALSE);
}

static void
add_route(GHashTable *entries, const struct jh_route *r)
{
	GPtrArray *f = add_entry(entries, g_strdup_printf("route %s", r->name));
	char *shares = format_shares(r);

	add_field(f, "host", "%s", r->host);
	add_field(f, "prefix", "%s", r->prefix);
	add_field(f, "kind", "%s", kind_texts[r->kind]);
	add_msec(f, "timeout", r->timeout);
	add_msec(f, "target", r->target);
	add_msec(f, "time between events", r->max_event_gap);
	add_number(f, "rank", r->rank);
	add_number(f, "attempts", r->max_runs);
	add_yes_no(f, "public", r->anonymous);
	add_yes_no(f, "resumable", r->resumable);
	add_field(f, "services", "%s", shares);
	g_free(shares);
}

static void
add_service(void *arg, const struct jh_service *s)
{
	GPtrArray *f = add_entry(arg, g_strdup_printf("service %s", s->name));

	add_yes_no(f, "engine", s->is_engine);
	add_number(f, "cache tokens", s->cache_tokens);
	add_yes_no(f, "prefix store", s->is_cache_store);
	add_field(f, "store address", "%08x:%u",
	    ntohl(s->cache_store.sin_addr.s_addr),
	    (unsigned int)ntohs(s->cache_store.sin_port));
}

static void
add_org(GHashTable *entries, const struct jh_route_org *o)
{
	GPtrArray *f =
	    add_entry(entries, g_strdup_printf("organisation %s", o->name));

	add_yes_no(f, "own rank", o->has_rank);
	add_number(f, "rank", o->rank);
	add_yes_no(f, "isolated", o->isolated);
	add_field(f, "rate", "%g/s", o->quota_per_second);
	add_field(f, "burst", "%g", o->quota_burst);
	add_field(f, "unit", "%s", o->quota_in_tokens ? "tokens" : "requests");
	add_field(f, "tokens not stated", "%g", o->uncounted_tokens);
}

static void
add_key(void *arg, const char *key, const struct jh_route_org *org)
{
	GPtrArray *f = add_entry(
	    arg, g_strdup_printf("key %016llx",
		     (unsigned long long)XXH3_64bits(key, strlen(key))));

	add_field(f, "organisation", "%s", org->name);
}

static void
add_limits(GHashTable *entries, const struct jh_route_table_limits *l)
{
	GPtrArray *f = add_entry(entries, g_strdup("limits"));

	add_number(f, "head bytes", l->head_bytes);
	add_number(f, "body bytes", l->body_bytes);
	add_msec(f, "time for a head", l->head_usec);
	add_msec(f, "idle timeout", l->idle_usec);
}

static void
free_entry(void *fields)
{
	g_ptr_array_free(fields, TRUE);
}

static GHashTable *
entries_of(const struct jh_route_table *t)
{
	GHashTable *entries =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
	size_t i;

	for (i = 0; i < jh_route_table_count(t); i++)
		add_route(entries, jh_route_table_route_at(t, i));
	jh_route_table_each_service(t, add_service, entries);
	for (i = 0; i < jh_route_table_org_count(t); i++)
		add_org(entries, jh_route_table_org_at(t, i));
	jh_route_table_each_key(t, add_key, entries);
	add_limits(entries, jh_route_table_limits_of(t));
	return entries;
}

static void
compare_entry(
    const char *name, const GPtrArray *a, const GPtrArray *b, GPtrArray *out)
{
	GString *changes = g_string_new(NULL);
	guint i;

	for (i = 0; i + 1 < a->len; i += 2) {
		const char *before = g_ptr_array_index(a, i + 1);
		const char *after = g_ptr_array_index(b, i + 1);
		if (strcmp(before, after) != 0)
			g_string_append_printf(changes, "%s%s %s -> %s",
			    changes->len > 0 ? "; " : "",
			    (const char *)g_ptr_array_index(a, i), before,
			    after);
	}
	if (changes->len > 0)
		jh_config_add_finding(out, JH_CONFIG_DIFFERENCE, g_strdup(name),
		    "changed: %s", changes->str);
	g_string_free(changes, TRUE);
}

/* Reports the entries of a that b lacks; with pairs, also those that differ. */
static void
compare_entries(GHashTable *a, GHashTable *b, const char *missing, bool pairs,
    GPtrArray *out)
{
	GHashTableIter it;
	gpointer name, fields;
	const GPtrArray *other;

	g_hash_table_iter_init(&it, a);
	while (g_hash_table_iter_next(&it, &name, &fields)) {
		other = g_hash_table_lookup(b, name);
		if (other == NULL)
			jh_config_add_finding(out, JH_CONFIG_DIFFERENCE,
			    g_strdup(name), "%s", missing);
		else if (pairs)
			compare_entry(name, fields, other, out);
	}
}

void
jh_config_compare(const struct jh_route_table *in_force,
    const struct jh_route_table *t, GPtrArray *out)
{
	GHashTable *before = entries_of(in_force), *after = entries_of(t);
	uint64_t old = jh_route_table_version(in_force);
	uint64_t new = jh_route_table_version(t);

	if (new <= old)
		jh_config_add_finding(out, JH_CONFIG_ERROR, g_strdup("version"),
		    "%llu is not above %llu, which is in force; routers will "
		    "ignore it",
		    (unsigned long long)new, (unsigned long long)old);
	compare_entries(before, after, "removed", true, out);
	compare_entries(after, before, "added", false, out);
	g_hash_table_destroy(before);
	g_hash_table_destroy(after);
}
