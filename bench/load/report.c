#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "report.h"

enum group_id {
	GROUP_URGENT,
	GROUP_BACKGROUND,
	GROUP_LARGE,
	GROUP_SMALL,
	GROUP_MARKED,
	GROUP_PAYMENT,
	GROUPS
};

static const char *const group_names[GROUPS] = {
    [GROUP_URGENT] = "urgent",
    [GROUP_BACKGROUND] = "background",
    [GROUP_LARGE] = "large-org",
    [GROUP_SMALL] = "small-org",
    [GROUP_MARKED] = "marked-5s",
    [GROUP_PAYMENT] = "payment",
};

struct group {
	uint64_t count;
	uint64_t complete;
	uint64_t good; /* complete, with the first token within the target */
	uint64_t tokens;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	GHashTable *codes; /* code -> count */
	struct samples ttft;
	struct samples gaps;
};

struct report {
	const struct load_options *opt;
	pthread_mutex_t lock; /* guards the members below */
	struct group group[GROUPS];
	uint64_t broken;
};

struct report *
report_create(const struct load_options *o)
{
	struct report *r = g_new0(struct report, 1);
	int i;

	r->opt = o;
	pthread_mutex_init(&r->lock, NULL);
	for (i = 0; i < GROUPS; i++) {
		r->group[i].codes = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL);
		samples_init(&r->group[i].ttft);
		samples_init(&r->group[i].gaps);
	}
	return r;
}

void
report_destroy(struct report *r)
{
	int i;

	for (i = 0; i < GROUPS; i++) {
		g_hash_table_destroy(r->group[i].codes);
		samples_clear(&r->group[i].ttft);
		samples_clear(&r->group[i].gaps);
	}
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

static void
count_code(struct group *g, const char *code)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(g->codes, code));

	g_hash_table_replace(g->codes, g_strdup(code), GUINT_TO_POINTER(n + 1));
}

static bool
is_good(const struct report *r, const struct result *res)
{
	int ms = res->background ? r->opt->background_target_ms
				 : r->opt->urgent_target_ms;

	return res->complete && res->ttft <= (uint64_t)ms * JH_USEC_PER_MSEC;
}

static void
add_to(struct report *r, struct group *g, const struct result *res)
{
	guint i;

	g->count++;
	if (res->code != NULL)
		count_code(g, res->code);
	if (!res->complete)
		return;
	g->complete++;
	g->tokens += res->tokens;
	g->prompt_tokens += res->prompt_tokens;
	g->cached_tokens += res->cached_tokens;
	if (is_good(r, res))
		g->good++;
	samples_add(&g->ttft, res->ttft);
	for (i = 0; res->gaps != NULL && i < res->gaps->len; i++)
		samples_add(&g->gaps, g_array_index(res->gaps, uint32_t, i));
}

void
report_add(struct report *r, const struct result *res)
{
	pthread_mutex_lock(&r->lock);
	if (!res->complete && g_strcmp0(res->code, "broken") == 0)
		r->broken++;
	if (res->payment) {
		add_to(r, &r->group[GROUP_PAYMENT], res);
	} else {
		add_to(r,
		    &r->group[res->background ? GROUP_BACKGROUND
					      : GROUP_URGENT],
		    res);
		add_to(r,
		    &r->group[res->org < SHAPE_LARGE_ORGS ? GROUP_LARGE
							  : GROUP_SMALL],
		    res);
		if (res->marked)
			add_to(r, &r->group[GROUP_MARKED], res);
	}
	pthread_mutex_unlock(&r->lock);
}

static double
hit_rate(const struct group *g)
{
	return g->prompt_tokens == 0
		   ? 0
		   : (double)g->cached_tokens / (double)g->prompt_tokens;
}

static char *
codes_text(const struct group *g)
{
	GString *s = g_string_new(NULL);
	GHashTableIter it;
	gpointer code, n;

	g_hash_table_iter_init(&it, g->codes);
	while (g_hash_table_iter_next(&it, &code, &n))
		g_string_append_printf(s, "%s%s=%u", s->len > 0 ? "," : "",
		    (const char *)code, GPOINTER_TO_UINT(n));
	if (s->len == 0)
		g_string_append(s, "-");
	return g_string_free(s, FALSE);
}

static void
print_row(const char *name, const struct group *g, double seconds)
{
	char *codes = codes_text(g);

	printf("%-10s %7llu %7llu %5.3f %8.1f %8.1f %8.1f %8.1f %7.2f %7.2f "
	       "%7.2f %7.2f %8.2f %9.1f %s\n",
	    name, (unsigned long long)g->count, (unsigned long long)g->complete,
	    hit_rate(g), samples_quantile(&g->ttft, 0.5),
	    samples_quantile(&g->ttft, 0.95), samples_quantile(&g->ttft, 0.99),
	    samples_quantile(&g->ttft, 0.999), samples_quantile(&g->gaps, 0.5),
	    samples_quantile(&g->gaps, 0.95), samples_quantile(&g->gaps, 0.99),
	    samples_quantile(&g->gaps, 0.999), (double)g->good / seconds,
	    (double)g->tokens / seconds, codes);
	g_free(codes);
}

static void
print_table(const struct report *r, double seconds)
{
	int i;

	printf("%-10s %7s %7s %5s %8s %8s %8s %8s %7s %7s %7s %7s %8s %9s %s\n",
	    "group", "count", "whole", "hit", "ttft-p50", "p95", "p99", "p99.9",
	    "gap-p50", "p95", "p99", "p99.9", "good/s", "tokens/s",
	    "other-outcomes");
	for (i = 0; i < GROUPS; i++) {
		if (r->group[i].count > 0)
			print_row(group_names[i], &r->group[i], seconds);
	}
}

static json_t *
quantiles_json(const struct samples *s)
{
	return json_pack("{s:f, s:f, s:f, s:f, s:I}", "p50",
	    samples_quantile(s, 0.5), "p95", samples_quantile(s, 0.95), "p99",
	    samples_quantile(s, 0.99), "p99.9", samples_quantile(s, 0.999),
	    "dropped", (json_int_t)s->dropped);
}

static json_t *
group_json(const struct group *g, double seconds)
{
	json_t *codes = json_object();
	GHashTableIter it;
	gpointer code, n;

	g_hash_table_iter_init(&it, g->codes);
	while (g_hash_table_iter_next(&it, &code, &n))
		json_object_set_new(
		    codes, code, json_integer(GPOINTER_TO_UINT(n)));
	return json_pack("{s:I, s:I, s:f, s:o, s:o, s:f, s:f, s:o}", "count",
	    (json_int_t)g->count, "complete", (json_int_t)g->complete,
	    "hit_rate", hit_rate(g), "ttft_ms", quantiles_json(&g->ttft),
	    "between_tokens_ms", quantiles_json(&g->gaps), "good_per_second",
	    (double)g->good / seconds, "tokens_per_second",
	    (double)g->tokens / seconds, "other_outcomes", codes);
}

static void
print_json(const struct report *r, double seconds)
{
	json_t *root = json_object();
	int i;

	json_object_set_new(root, "seconds", json_real(seconds));
	json_object_set_new(root, "seed", json_integer(r->opt->seed));
	for (i = 0; i < GROUPS; i++)
		json_object_set_new(
		    root, group_names[i], group_json(&r->group[i], seconds));
	json_dumpf(root, stdout, JSON_INDENT(1) | JSON_PRESERVE_ORDER);
	putchar('\n');
	json_decref(root);
}

void
report_print(struct report *r, uint64_t usec)
{
	double seconds = (double)MAX(usec, 1) / (double)JH_USEC_PER_SEC;
	int i;

	for (i = 0; i < GROUPS; i++) {
		samples_sort(&r->group[i].ttft);
		samples_sort(&r->group[i].gaps);
	}
	if (r->opt->json)
		print_json(r, seconds);
	else
		print_table(r, seconds);
}

uint64_t
report_broken(const struct report *r)
{
	return r->broken;
}
