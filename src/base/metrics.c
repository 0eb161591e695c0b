#include <math.h>

#include <gsl/gsl_histogram.h>

#include "base/metrics.h"

/* Range of a latency histogram, divided into buckets of equal ratio. */
#define MIN_MSEC 1.0
#define MAX_MSEC 60000.0
#define N_BUCKETS 24

struct metric {
	double value;
	gsl_histogram *histogram; /* NULL: a counter or gauge */
	double sum_msec;
	double count;
};

struct jh_metrics {
	GTree *metrics; /* by name */
};

static void
free_metric(void *p)
{
	struct metric *m = p;

	if (m->histogram != NULL)
		gsl_histogram_free(m->histogram);
	g_free(m);
}

static int
compare(const void *a, const void *b, void *arg)
{
	return g_strcmp0(a, b);
}

struct jh_metrics *
jh_metrics_create(void)
{
	struct jh_metrics *m = g_new0(struct jh_metrics, 1);

	m->metrics = g_tree_new_full(compare, NULL, g_free, free_metric);
	return m;
}

void
jh_metrics_destroy(struct jh_metrics *m)
{
	if (m == NULL)
		return;
	g_tree_destroy(m->metrics);
	g_free(m);
}

static struct metric *
find_or_create(struct jh_metrics *m, const char *name)
{
	struct metric *x = g_tree_lookup(m->metrics, name);

	if (x == NULL) {
		x = g_new0(struct metric, 1);
		g_tree_insert(m->metrics, g_strdup(name), x);
	}
	return x;
}

void
jh_metrics_add(struct jh_metrics *m, const char *name, double delta)
{
	find_or_create(m, name)->value += delta;
}

void
jh_metrics_set(struct jh_metrics *m, const char *name, double value)
{
	find_or_create(m, name)->value = value;
}

static gsl_histogram *
create_histogram(void)
{
	gsl_histogram *h = gsl_histogram_alloc(N_BUCKETS);
	double bounds[N_BUCKETS + 1];
	size_t i;

	for (i = 0; i <= N_BUCKETS; i++)
		bounds[i] =
		    MIN_MSEC * pow(MAX_MSEC / MIN_MSEC, (double)i / N_BUCKETS);
	gsl_histogram_set_ranges(h, bounds, N_BUCKETS + 1);
	return h;
}

void
jh_metrics_observe(struct jh_metrics *m, const char *name, uint64_t usec)
{
	struct metric *x = find_or_create(m, name);
	double msec = (double)usec / 1000;

	if (x->histogram == NULL)
		x->histogram = create_histogram();
	x->sum_msec += msec;
	x->count++;
	gsl_histogram_increment(
	    x->histogram, CLAMP(msec, MIN_MSEC, MAX_MSEC * 0.999));
}

double
jh_metrics_get(const struct jh_metrics *m, const char *name)
{
	const struct metric *x = g_tree_lookup(m->metrics, name);

	return x == NULL ? 0 : x->histogram != NULL ? x->count : x->value;
}

static gboolean
write_metric(void *key, void *value, void *arg)
{
	const struct metric *x = value;
	GString *out = arg;
	double sum = 0, low, high;
	size_t i;

	if (x->histogram == NULL) {
		g_string_append_printf(
		    out, "%s %.17g\n", (char *)key, x->value);
		return FALSE;
	}
	for (i = 0; i < N_BUCKETS; i++) {
		sum += gsl_histogram_get(x->histogram, i);
		gsl_histogram_get_range(x->histogram, i, &low, &high);
		g_string_append_printf(out, "%s_bucket{le=\"%.3f\"} %.0f\n",
		    (char *)key, high, sum);
	}
	g_string_append_printf(out, "%s_sum %.3f\n%s_count %.0f\n", (char *)key,
	    x->sum_msec, (char *)key, x->count);
	return FALSE;
}

void
jh_metrics_write(const struct jh_metrics *m, GString *out)
{
	g_tree_foreach(m->metrics, write_metric, out);
}
