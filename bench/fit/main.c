#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "bench/fit/pairs.h"

/* Limits of the bands of predicted times, milliseconds; the last is open. */
static const double bands[] = {0, 25, 50, 100, 200, 400, 800, 1600, INFINITY};
#define BANDS (G_N_ELEMENTS(bands) - 1)

/* The plot, in pixels; both axes are logarithmic, from 10 ms to 10 s. */
#define PLOT_SIDE 480.0
#define PLOT_MARGIN 60.0
#define AXIS_MIN_MSEC 10.0
#define AXIS_DECADES 3.0
/* With more points than this they cover each other. */
#define MAX_POINTS 1000

static char *svg;

static const GOptionEntry options[] = {
    {"svg", 0, 0, G_OPTION_ARG_FILENAME, &svg, "also write a plot to FILE",
	"FILE"},
    G_OPTION_ENTRY_NULL};

static void
print_band(const GArray *pairs, double from, double to)
{
	double *observed = g_new(double, pairs->len);
	double expected = 0;
	size_t n = 0;
	guint i;

	for (i = 0; i < pairs->len; i++) {
		const struct fit_pair *p =
		    &g_array_index(pairs, struct fit_pair, i);
		if (p->expected / 1e3 < from || p->expected / 1e3 >= to)
			continue;
		expected += p->expected / 1e3;
		observed[n++] = p->observed / 1e3;
	}
	if (n > 0) {
		gsl_sort(observed, 1, n);
		printf("| %.0f to %.0f | %zu | %.0f | %.0f | %.0f | %.0f |\n",
		    from, to, n, expected / (double)n,
		    gsl_stats_quantile_from_sorted_data(observed, 1, n, 0.5),
		    gsl_stats_mean(observed, 1, n),
		    gsl_stats_quantile_from_sorted_data(observed, 1, n, 0.9));
	}
	g_free(observed);
}

static double
axis_position(double usec)
{
	double decades = log10(MAX(usec / 1e3, AXIS_MIN_MSEC) / AXIS_MIN_MSEC);

	return MIN(decades, AXIS_DECADES) / AXIS_DECADES * PLOT_SIDE;
}

static bool
write_plot(const GArray *pairs, const char *path)
{
	GString *s = g_string_new(NULL);
	GError *err = NULL;
	bool ok;
	guint i;
	int d;

	g_string_append_printf(s,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
	    "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"12\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
	    "<g transform=\"translate(%.0f,%.0f)\">\n"
	    "<rect width=\"%.0f\" height=\"%.0f\" fill=\"none\" "
	    "stroke=\"black\"/>\n"
	    "<path d=\"M0 %.0f L%.0f 0\" stroke=\"gray\"/>\n",
	    PLOT_SIDE + 2 * PLOT_MARGIN, PLOT_SIDE + 2 * PLOT_MARGIN,
	    PLOT_MARGIN, PLOT_MARGIN, PLOT_SIDE, PLOT_SIDE, PLOT_SIDE,
	    PLOT_SIDE);
	for (d = 0; d <= (int)AXIS_DECADES; d++)
		g_string_append_printf(s,
		    "<text x=\"%.0f\" y=\"%.0f\">%.0f</text>"
		    "<text x=\"-45\" y=\"%.0f\">%.0f</text>\n",
		    d * PLOT_SIDE / AXIS_DECADES - 8, PLOT_SIDE + 18,
		    AXIS_MIN_MSEC * pow(10, d),
		    PLOT_SIDE - d * PLOT_SIDE / AXIS_DECADES + 4,
		    AXIS_MIN_MSEC * pow(10, d));
	g_string_append_printf(s,
	    "<text x=\"%.0f\" y=\"%.0f\">predicted, ms</text>"
	    "<text x=\"-45\" y=\"-12\">observed, ms</text>\n",
	    PLOT_SIDE / 2 - 40, PLOT_SIDE + 40);
	for (i = 0; i < pairs->len; i += 1 + pairs->len / MAX_POINTS) {
		const struct fit_pair *p =
		    &g_array_index(pairs, struct fit_pair, i);
		g_string_append_printf(s,
		    "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"1.5\" "
		    "fill-opacity=\"0.25\"/>\n",
		    axis_position(p->expected),
		    PLOT_SIDE - axis_position(p->observed));
	}
	g_string_append(s, "</g>\n</svg>\n");
	ok = g_file_set_contents(path, s->str, (gssize)s->len, &err);
	if (!ok)
		fprintf(stderr, "jhfit: %s\n", err->message);
	g_clear_error(&err);
	g_string_free(s, TRUE);
	return ok;
}

int
main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(
	    "- compare predicted and observed times to the first token, from "
	    "log lines on standard input");
	GError *err = NULL;
	GArray *pairs;
	bool ok = true;
	size_t i;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		fprintf(stderr, "jhfit: %s\n", err->message);
		return 2;
	}
	g_option_context_free(context);
	pairs = fit_read(stdin);
	printf(
	    "| predicted, ms | requests | mean predicted | median observed | "
	    "mean observed | 9 in 10 within |\n"
	    "|---|---|---|---|---|---|\n");
	for (i = 0; i < BANDS; i++)
		print_band(pairs, bands[i], bands[i + 1]);
	if (svg != NULL)
		ok = write_plot(pairs, svg);
	g_array_free(pairs, TRUE);
	return ok ? 0 : 1;
}
