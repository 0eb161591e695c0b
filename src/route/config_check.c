#include <stdarg.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "route/config_check.h"

static const char *const kind_names[] = {
    [JH_CONFIG_ERROR] = "error",
    [JH_CONFIG_UNREACHABLE] = "unreachable",
    [JH_CONFIG_LIMITS] = "limits",
    [JH_CONFIG_DIFFERENCE] = "difference",
};

static void
free_finding(void *p)
{
	struct jh_config_finding *f = p;

	g_free(f->name);
	g_free(f->text);
	g_free(f);
}

GPtrArray *
jh_config_findings_create(void)
{
	return g_ptr_array_new_with_free_func(free_finding);
}

void
jh_config_add_finding(GPtrArray *out, enum jh_config_finding_kind kind,
    char *name, const char *format, ...)
{
	struct jh_config_finding *f = g_new0(struct jh_config_finding, 1);
	va_list args;

	f->kind = kind;
	f->name = name;
	va_start(args, format);
	f->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(out, f);
}

static int
compare_findings(gconstpointer a, gconstpointer b)
{
	const struct jh_config_finding *x = *(void *const *)a;
	const struct jh_config_finding *y = *(void *const *)b;
	int r = (x->kind > y->kind) - (x->kind < y->kind);

	if (r == 0)
		r = strcmp(x->name, y->name);
	return r != 0 ? r : strcmp(x->text, y->text);
}

void
jh_config_findings_sort(GPtrArray *findings)
{
	g_ptr_array_sort(findings, compare_findings);
}

const char *
jh_config_finding_kind_name(enum jh_config_finding_kind kind)
{
	return kind_names[kind];
}

static char *
route_name(const struct jh_route *r)
{
	return g_strdup_printf("route %s", r->name);
}

static char *
org_name(const struct jh_route_org *o)
{
	return g_strdup_printf("organisation %s", o->name);
}

static double
msec(uint64_t usec)
{
	return (double)usec / (double)JH_USEC_PER_MSEC;
}

/* Of two routes with the same host and prefix, the first is found. */
static void
check_earlier_routes(const struct jh_route_table *t, size_t i, GPtrArray *out)
{
	const struct jh_route *r = jh_route_table_route_at(t, i), *first;
	bool hidden = false;
	size_t j;

	for (j = 0; j < i; j++) {
		first = jh_route_table_route_at(t, j);
		if (strcmp(first->name, r->name) == 0)
			jh_config_add_finding(out, JH_CONFIG_ERROR,
			    route_name(r), "the name occurs twice");
		if (hidden || g_ascii_strcasecmp(first->host, r->host) != 0 ||
		    strcmp(first->prefix, r->prefix) != 0)
			continue;
		hidden = true;
		jh_config_add_finding(out, JH_CONFIG_UNREACHABLE, route_name(r),
		    "route %s comes first with the same host and prefix",
		    first->name);
	}
}

/* See jh_route_table_find_route(). */
static void
check_match(const struct jh_route *r, GPtrArray *out)
{
	if (r->host[0] == '\0' || strchr(r->host, ':') != NULL)
		jh_config_add_finding(out, JH_CONFIG_UNREACHABLE, route_name(r),
		    "no request has the host \"%s\"", r->host);
	if (r->prefix[0] != '/')
		jh_config_add_finding(out, JH_CONFIG_UNREACHABLE, route_name(r),
		    "no path begins with \"%s\"", r->prefix);
	else if (!g_str_has_suffix(r->prefix, "/"))
		jh_config_add_finding(out, JH_CONFIG_ERROR, route_name(r),
		    "the prefix \"%s\" does not end with a slash", r->prefix);
}

static void
check_services(
    const struct jh_route_table *t, const struct jh_route *r, GPtrArray *out)
{
	uint64_t total = 0;
	guint i;

	for (i = 0; i < r->shares->len; i++) {
		const struct jh_route_share *s =
		    &g_array_index(r->shares, struct jh_route_share, i);
		total += s->weight;
		if (jh_route_table_find_service(t, s->service) == NULL)
			jh_config_add_finding(out, JH_CONFIG_UNREACHABLE,
			    route_name(r), "service %s does not exist",
			    s->service);
	}
	if (total == 0)
		jh_config_add_finding(out, JH_CONFIG_ERROR, route_name(r),
		    "the weights of its services sum to 0");
}

static void
check_times(const struct jh_route *r, GPtrArray *out)
{
	if (r->timeout == 0)
		jh_config_add_finding(
		    out, JH_CONFIG_LIMITS, route_name(r), "the timeout is 0");
	if (r->target > r->timeout)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, route_name(r),
		    "the target, %.0f ms, is above the timeout, %.0f ms",
		    msec(r->target), msec(r->timeout));
	if (r->max_event_gap > r->timeout)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, route_name(r),
		    "the time between events, %.0f ms, is above the timeout, "
		    "%.0f ms",
		    msec(r->max_event_gap), msec(r->timeout));
	if (r->max_runs == 0)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, route_name(r),
		    "no attempt is allowed");
}

static void
check_org(const struct jh_route_table *t, size_t i, GPtrArray *out)
{
	const struct jh_route_org *o = jh_route_table_org_at(t, i);
	size_t j;

	for (j = 0; j < i; j++)
		if (strcmp(jh_route_table_org_at(t, j)->name, o->name) == 0)
			jh_config_add_finding(out, JH_CONFIG_ERROR, org_name(o),
			    "the name occurs twice");
	if (o->quota_per_second > 0 && o->quota_burst <= 0)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, org_name(o),
		    "a rate without a burst is no limit");
	if (o->quota_burst > 0 && o->quota_per_second <= 0)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, org_name(o),
		    "a burst without a rate is no limit");
	if (jh_route_org_has_quota(o) && o->quota_in_tokens &&
	    o->quota_burst < o->uncounted_tokens)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, org_name(o),
		    "the burst, %.0f tokens, is below the cost of a request "
		    "that does not state its tokens, %.0f",
		    o->quota_burst, o->uncounted_tokens);
}

static void
check_keys(const struct jh_route_table *t, GPtrArray *out)
{
	const struct jh_route_org *loser, *holder;
	size_t i;

	for (i = 0; i < jh_route_table_lost_key_count(t); i++) {
		loser = jh_route_table_lost_key_at(t, i, &holder);
		jh_config_add_finding(out, JH_CONFIG_ERROR, org_name(loser),
		    "organisation %s has one of its keys too", holder->name);
	}
}

/* 0 is the default, which is in order. */
static void
check_limits(const struct jh_route_table *t, uint64_t memory, GPtrArray *out)
{
	const struct jh_route_table_limits *l = jh_route_table_limits_of(t);

	if (l->body_bytes > memory)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, g_strdup("limits"),
		    "a body of %llu bytes exceeds the memory of a router, "
		    "%llu bytes",
		    (unsigned long long)l->body_bytes,
		    (unsigned long long)memory);
	if (l->idle_usec != 0 && l->idle_usec < l->head_usec)
		jh_config_add_finding(out, JH_CONFIG_LIMITS, g_strdup("limits"),
		    "the idle timeout, %.0f ms, is below the time for a head, "
		    "%.0f ms",
		    msec(l->idle_usec), msec(l->head_usec));
}

void
jh_config_check(const struct jh_route_table *t, uint64_t memory, GPtrArray *out)
{
	size_t i;

	for (i = 0; i < jh_route_table_count(t); i++) {
		const struct jh_route *r = jh_route_table_route_at(t, i);
		check_earlier_routes(t, i, out);
		check_match(r, out);
		check_services(t, r, out);
		check_times(r, out);
	}
	for (i = 0; i < jh_route_table_org_count(t); i++)
		check_org(t, i, out);
	check_keys(t, out);
	if (jh_route_table_replaced_services(t) > 0)
		jh_config_add_finding(out, JH_CONFIG_ERROR,
		    g_strdup("services"), "%zu have the name of another one",
		    jh_route_table_replaced_services(t));
	check_limits(t, memory, out);
}
