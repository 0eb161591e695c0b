#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "config/settings.h"

#include "relay.h"

#define BODY_LIMIT (16 << 20)
#define BUFFER_LIMIT (64 * 1024)
#define MAX_CONNS 8192

static gchar *listen_text;
static gchar **engine_texts;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_text, "address to listen on",
	"A:P"},
    {"engine", 0, 0, G_OPTION_ARG_STRING_ARRAY, &engine_texts,
	"engine to relay to; repeat to use several in rotation", "A:P"},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static bool
read_addresses(struct relay *r, struct sockaddr_in *listen)
{
	struct sockaddr_in sin;
	gchar **t;

	if (listen_text == NULL || !jh_address_parse(listen_text, listen))
		return false;
	r->engines = g_array_new(FALSE, FALSE, sizeof(sin));
	for (t = engine_texts; t != NULL && *t != NULL; t++) {
		if (!jh_address_parse(*t, &sin))
			return false;
		g_array_append_val(r->engines, sin);
	}
	return r->engines->len > 0;
}

static bool
parse_options(
    struct relay *r, struct sockaddr_in *listen, int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new(
	    "- relay requests to engines in rotation, as a baseline");
	GError *err = NULL;
	bool ok;

	g_option_context_add_main_entries(ctx, options, NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &err);
	g_option_context_free(ctx);
	if (!ok) {
		fprintf(stderr, "jhrelay: %s\n", err->message);
		g_error_free(err);
		return false;
	}
	if (!read_addresses(r, listen)) {
		fprintf(stderr, "jhrelay: --listen A.B.C.D:PORT and --engine "
				"A.B.C.D:PORT are needed\n");
		return false;
	}
	return true;
}

int
main(int argc, char **argv)
{
	static struct relay relay;
	struct jh_http_server_spec spec = {.body_limit = BODY_LIMIT,
	    .buffer_limit = BUFFER_LIMIT,
	    .max_conns = MAX_CONNS,
	    .threads = 1,
	    .ops = &relay_server_ops,
	    .arg = &relay};
	struct jh_http_server *server;
	GError *err = NULL;
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (!parse_options(&relay, &spec.listen, argc, argv))
		return 2;
	relay.client = jh_http_client_create("upstream", MAX_CONNS);
	server = jh_http_server_create(&spec, &err);
	if (server == NULL) {
		fprintf(stderr, "jhrelay: %s\n", err->message);
		g_error_free(err);
		return 1;
	}
	sigwait(&set, &sig);
	jh_http_client_destroy(relay.client);
	jh_http_server_destroy(server);
	g_array_free(relay.engines, TRUE);
	return 0;
}
