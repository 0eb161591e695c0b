#include <stdio.h>
#include <string.h>

#include "config/settings.h"

#include "options.h"

static struct load_options opt;
static gchar **addresses;

static const GOptionEntry entries[] = {
    {"target", 't', 0, G_OPTION_ARG_STRING_ARRAY, &addresses,
	"address to send to; repeat to use several in rotation", "A:P"},
    {"direct", 0, 0, G_OPTION_ARG_NONE, &opt.direct, "the targets are engines",
	NULL},
    {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &opt.rate,
	"Poisson arrivals per second (default 10)", "R"},
    {"concurrency", 'c', 0, G_OPTION_ARG_INT, &opt.concurrency,
	"closed loop with N requests in progress", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &opt.seconds,
	"duration of arrivals (default 10, at most 600)", "S"},
    {"max-requests", 0, 0, G_OPTION_ARG_INT64, &opt.max_requests,
	"limit on the number of requests (default 100000)", "N"},
    {"seed", 's', 0, G_OPTION_ARG_INT64, &opt.seed,
	"seed of arrivals and choices (default 1)", "N"},
    {"shape", 0, 0, G_OPTION_ARG_STRING, &opt.shape,
	"lavoir or mwakilema (default lavoir)", "NAME"},
    {"record-kb", 0, 0, G_OPTION_ARG_INT, &opt.record_kb,
	"size of every manual or batch record", "N"},
    {"records", 0, 0, G_OPTION_ARG_INT, &opt.records,
	"number of manuals or batch records", "N"},
    {"background", 'b', 0, G_OPTION_ARG_DOUBLE, &opt.background,
	"share of background requests, 0 to 1 (default 0.3)", "X"},
    {"only-org", 0, 0, G_OPTION_ARG_INT, &opt.only_org,
	"all requests come from organisation N, 0 to 7", "N"},
    {"tokens", 0, 0, G_OPTION_ARG_INT, &opt.tokens,
	"output tokens of urgent requests (default 24)", "N"},
    {"background-tokens", 0, 0, G_OPTION_ARG_INT, &opt.background_tokens,
	"output tokens of background requests (default 48)", "N"},
    {"payments", 0, 0, G_OPTION_ARG_DOUBLE, &opt.payments,
	"share of payments, 0 to 1 (default 0)", "X"},
    {"service", 0, 0, G_OPTION_ARG_STRING, &opt.service,
	"service that the payments go to (default kiosk)", "NAME"},
    {"shift-at", 0, 0, G_OPTION_ARG_DOUBLE, &opt.shift_at,
	"replace all manuals or batch records after S seconds", "S"},
    {"mark-at", 0, 0, G_OPTION_ARG_DOUBLE, &opt.mark_at,
	"also report the requests that arrive in the 5 s after S", "S"},
    {"urgent-target-ms", 0, 0, G_OPTION_ARG_INT, &opt.urgent_target_ms,
	"target time to first token of urgent requests (default 1000)", "N"},
    {"background-target-ms", 0, 0, G_OPTION_ARG_INT, &opt.background_target_ms,
	"the same for background requests (default 20000)", "N"},
    {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms,
	"limit on the time of one request (default 60000)", "N"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &opt.json, "print JSON", NULL},
    {"print-shared", 0, 0, G_OPTION_ARG_NONE, &opt.print_shared,
	"print the hashes of shared first messages and exit", NULL},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static bool
read_targets(void)
{
	struct sockaddr_in sin;
	gchar **a;

	opt.targets = g_array_new(FALSE, FALSE, sizeof(sin));
	for (a = addresses; a != NULL && *a != NULL; a++) {
		if (!jh_address_parse(*a, &sin)) {
			fprintf(
			    stderr, "jhload: \"%s\" is not A.B.C.D:PORT\n", *a);
			return false;
		}
		g_array_append_val(opt.targets, sin);
	}
	if (opt.targets->len == 0 && !opt.print_shared) {
		fprintf(stderr, "jhload: --target A.B.C.D:PORT is missing\n");
		return false;
	}
	return true;
}

static bool
in_range(void)
{
	return opt.rate > 0 && opt.rate <= 100000 && opt.seconds > 0 &&
	       opt.seconds <= 600 && opt.max_requests > 0 &&
	       opt.max_requests <= 1000000 && opt.tokens > 0 &&
	       opt.background_tokens > 0 && opt.background >= 0 &&
	       opt.background <= 1 && opt.payments >= 0 && opt.payments <= 1 &&
	       opt.only_org >= -1 && opt.only_org < 8 && opt.records >= 0 &&
	       opt.records <= 1024 && opt.record_kb >= 0 &&
	       opt.record_kb <= 8192 && opt.concurrency >= 0 &&
	       opt.concurrency <= 8192;
}

bool
load_options_parse(struct load_options *o, int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(
	    "- generate seeded load on entry daemons or engines");
	GError *err = NULL;
	bool ok;

	opt = (struct load_options){.rate = 10,
	    .seconds = 10,
	    .max_requests = 100000,
	    .seed = 1,
	    .background = 0.3,
	    .only_org = -1,
	    .tokens = 24,
	    .background_tokens = 48,
	    .shift_at = -1,
	    .mark_at = -1,
	    .urgent_target_ms = 1000,
	    .background_target_ms = 20000,
	    .timeout_ms = 60000};
	g_option_context_add_main_entries(ctx, entries, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "jhload: %s\n", err->message);
		g_error_free(err);
		return false;
	}
	if (opt.shape == NULL)
		opt.shape = g_strdup("lavoir");
	if (opt.service == NULL)
		opt.service = g_strdup("kiosk");
	ok = read_targets();
	if (ok && !in_range()) {
		fprintf(stderr, "jhload: an option is out of range\n");
		ok = false;
	}
	*o = opt;
	return ok;
}

void
load_options_clear(struct load_options *o)
{
	if (o->targets != NULL)
		g_array_free(o->targets, TRUE);
	g_strfreev(addresses);
	g_free(o->shape);
	g_free(o->service);
}
