#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "config/settings.h"
#include "ctl/ctl.h"
#include "rpc/server.h"

/* The dump section that holds the incarnation of the process. */
#define PROCESS_SECTION "process"

/*
 * The election that operators' orders name. Their fencing tokens are compared
 * with each other, and not with those of the holders of leases.
 */
#define OPERATOR_ELECTION "operator"

static int
rpc_exit_code(const GError *err)
{
	if (err->code == JH_RPC_ERROR_NO_LISTENER ||
	    err->code == JH_RPC_ERROR_CONNECT ||
	    err->code == JH_RPC_ERROR_TIMEOUT)
		return CTL_UNAVAILABLE;
	return CTL_FAILED;
}

/* Makes an RPC. On failure it prints why, sets *status and returns false. */
static bool
call_rpc(struct ctl *c, const char *address, uint32_t proc, void *args,
    void *reply, int *status)
{
	struct sockaddr_in peer;
	GError *err = NULL;

	if (!ctl_parse_address(c, address, "10.0.0.1:7001", &peer)) {
		*status = CTL_USAGE;
		return false;
	}
	if (jh_rpc_call(&peer, &c->settings.secret, proc, args, reply,
		ctl_deadline(c), &err))
		return true;
	fprintf(c->err, "%s: %s\n", address, err->message);
	*status = rpc_exit_code(err);
	g_error_free(err);
	return false;
}

/* Returns the dump as JSON, or NULL with *status set to the exit code. */
static json_t *
fetch_dump(struct ctl *c, const char *address, const char *section, int *status)
{
	struct jh_dump_args args = {.section = (char *)section};
	struct jh_text_reply reply = {0};
	json_t *dump;

	if (!call_rpc(c, address, JH_DUMP, &args, &reply, status))
		return NULL;
	dump = json_loads(reply.text, 0, NULL);
	jh_rpc_reply_clear(JH_DUMP, &reply);
	if (dump == NULL) {
		fprintf(c->err, "%s: the dump is not valid JSON\n", address);
		*status = CTL_FAILED;
	}
	return dump;
}

static int
dump(struct ctl *c, const char *address, const char *section)
{
	int status = CTL_OK;
	json_t *o = fetch_dump(c, address, section, &status);
	char *text;

	if (o == NULL)
		return status;
	text = json_dumps(o, c->json ? JSON_COMPACT : JSON_INDENT(2));
	fprintf(c->out, "%s\n", text);
	free(text);
	json_decref(o);
	return status;
}

static int
run_dump(struct ctl *c, const struct ctl_command *self, char **args)
{
	int status = ctl_parse_options(c, self, NULL, &args, 1, 2);

	if (status == CTL_CONTINUE)
		status = ctl_load_settings(c);
	if (status == CTL_CONTINUE)
		status = dump(c, args[0], args[1] == NULL ? "" : args[1]);
	g_strfreev(args);
	return status;
}

/* Reads the incarnation of the process that listens at the address. */
static bool
find_incarnation(struct ctl *c, const char *address, guint64 *out, int *status)
{
	json_t *o = fetch_dump(c, address, PROCESS_SECTION, status);
	json_t *process = json_object_get(o, PROCESS_SECTION);
	const char *text;
	bool ok;

	if (o == NULL)
		return false;
	text = json_string_value(
	    json_object_get(process == NULL ? o : process, "incarnation"));
	ok = text != NULL &&
	     g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, out, NULL);
	if (!ok) {
		fprintf(
		    c->err, "%s: the dump has no valid incarnation\n", address);
		*status = CTL_FAILED;
	}
	json_decref(o);
	return ok;
}

static int
drain(struct ctl *c, const char *address, const char *incarnation)
{
	struct jh_drain_args args = {0};
	struct jh_status_reply reply = {0};
	int status = CTL_OK;
	guint64 n = 0;

	if (incarnation != NULL && !g_ascii_string_to_unsigned(incarnation, 16,
				       0, G_MAXUINT64, &n, NULL)) {
		fprintf(c->err, "\"%s\" is not an incarnation\n", incarnation);
		return CTL_USAGE;
	}
	if (incarnation == NULL && !find_incarnation(c, address, &n, &status))
		return status;
	args.incarnation = n;
	if (!call_rpc(c, address, JH_DRAIN, &args, &reply, &status))
		return status;
	fprintf(reply.code == 0 ? c->out : c->err, "%s: %s\n", address,
	    reply.message);
	status = reply.code == 0 ? CTL_OK : CTL_FAILED;
	jh_rpc_reply_clear(JH_DRAIN, &reply);
	return status;
}

static int
run_drain(struct ctl *c, const struct ctl_command *self, char **args)
{
	char *incarnation = NULL;
	const GOptionEntry extra[] = {
	    {"incarnation", 'i', 0, G_OPTION_ARG_STRING, &incarnation,
		"Incarnation of the process to drain (default: of the one "
		"now at the address)",
		"HEX"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse_options(c, self, extra, &args, 1, 1);

	if (status == CTL_CONTINUE)
		status = ctl_load_settings(c);
	if (status == CTL_CONTINUE)
		status = drain(c, args[0], incarnation);
	g_strfreev(args);
	g_free(incarnation);
	return status;
}

struct order_options {
	char *model;
	char *weights;
	char *duty;
	gint64 fencing; /* 0: none given */
};

/*
 * Sets the fencing token if none is given. The default is the store's present
 * revision: no lease or operator had this token before the store last changed.
 */
static int
find_fencing_token(struct ctl *c, struct order_options *o)
{
	uint64_t revision = 0;
	int status;

	if (o->fencing > 0)
		return CTL_CONTINUE;
	status = ctl_store_revision(c, &revision);
	o->fencing = (gint64)revision;
	return status;
}

static int
send_order(struct ctl *c, const char *address, const struct order_options *o)
{
	struct jh_order_args args = {.duty = o->duty,
	    .fencing = (uint64_t)o->fencing,
	    .kind = JH_ORDER_LOAD_WEIGHTS,
	    .model = o->model,
	    .weights = o->weights,
	    .role = (char *)""};
	struct jh_status_reply reply = {0};
	int status = CTL_OK;

	if (!call_rpc(c, address, JH_ORDER, &args, &reply, &status))
		return status;
	fprintf(reply.code == 0 ? c->out : c->err,
	    "%s: %s (fencing %" G_GINT64_FORMAT ")\n", address, reply.message,
	    o->fencing);
	status = reply.code == 0 ? CTL_OK : CTL_FAILED;
	jh_rpc_reply_clear(JH_ORDER, &reply);
	return status;
}

static int
check_order(struct ctl *c, char **args, const struct order_options *o)
{
	if (strcmp(args[1], "load-weights") == 0 && o->model != NULL &&
	    o->weights != NULL && o->fencing >= 0)
		return CTL_CONTINUE;
	fprintf(c->err,
	    "usage: jhctl order ADDRESS load-weights --model NAME --weights "
	    "VERSION [--fencing N]\n");
	return CTL_USAGE;
}

static int
run_order(struct ctl *c, const struct ctl_command *self, char **args)
{
	struct order_options o = {0};
	const GOptionEntry extra[] = {
	    {"model", 'm', 0, G_OPTION_ARG_STRING, &o.model,
		"Model that the engine serves", "NAME"},
	    {"weights", 'w', 0, G_OPTION_ARG_STRING, &o.weights,
		"Version of the weights", "VERSION"},
	    {"duty", 'd', 0, G_OPTION_ARG_STRING, &o.duty,
		"Election that issued the token (default " OPERATOR_ELECTION
		")",
		"NAME"},
	    {"fencing", 'f', 0, G_OPTION_ARG_INT64, &o.fencing,
		"Fencing token (default: the store's present revision)", "N"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse_options(c, self, extra, &args, 2, 2);

	if (status == CTL_CONTINUE)
		status = check_order(c, args, &o);
	if (o.duty == NULL)
		o.duty = g_strdup(OPERATOR_ELECTION);
	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status = find_fencing_token(c, &o);
	if (status == CTL_CONTINUE)
		status = send_order(c, args[0], &o);
	g_strfreev(args);
	g_free(o.model);
	g_free(o.weights);
	g_free(o.duty);
	return status;
}

const struct ctl_command ctl_control_commands[] = {
    {"order", "ADDRESS load-weights", "Order a worker to load weights",
	run_order},
    {"dump", "ADDRESS [SECTION]", "Show the state of a daemon", run_dump},
    {"drain", "ADDRESS", "Make a daemon finish its work and stop", run_drain},
    {0}};
