#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "config/settings.h"
#include "ctl/ctl.h"
#include "rpc/server.h"

/* The dump section that names the process's incarnation. */
#define PROCESS_SECTION "process"

static int
exit_of(const GError *err)
{
	if (err->code == JH_RPC_ERROR_ABSENT ||
	    err->code == JH_RPC_ERROR_CONNECT ||
	    err->code == JH_RPC_ERROR_TIMEOUT)
		return CTL_UNAVAILABLE;
	return CTL_FAILED;
}

/* Calls and, on failure, prints why and sets *status. */
static bool
call(struct ctl *c, const char *address, uint32_t proc, void *args, void *reply,
    int *status)
{
	struct sockaddr_in peer;
	GError *err = NULL;

	if (!jh_address_parse(address, &peer)) {
		fprintf(c->err, "\"%s\" is no address such as 10.0.0.1:7001\n",
		    address);
		*status = CTL_USAGE;
		return false;
	}
	if (jh_rpc_call(&peer, &c->settings.control_key, proc, args, reply,
		ctl_deadline(c), &err))
		return true;
	fprintf(c->err, "%s: %s\n", address, err->message);
	*status = exit_of(err);
	g_error_free(err);
	return false;
}

/* The dump as JSON, or NULL with *status set. */
static json_t *
fetch_dump(struct ctl *c, const char *address, const char *section, int *status)
{
	struct jh_dump_args args = {.section = (char *)section};
	struct jh_text_reply reply = {0};
	json_t *dump;

	if (!call(c, address, JH_DUMP, &args, &reply, status))
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
	int status = ctl_parse(c, self, NULL, &args, 1, 2);

	if (status == CTL_GO_ON)
		status = ctl_load_settings(c);
	if (status == CTL_GO_ON)
		status = dump(c, args[0], args[1] == NULL ? "" : args[1]);
	g_strfreev(args);
	return status;
}

/* Reads "incarnation" (hexadecimal) of the process now at the address. */
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
		fprintf(c->err, "%s: the dump names no incarnation\n", address);
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
		fprintf(c->err, "\"%s\" is no incarnation\n", incarnation);
		return CTL_USAGE;
	}
	if (incarnation == NULL && !find_incarnation(c, address, &n, &status))
		return status;
	args.incarnation = n;
	if (!call(c, address, JH_DRAIN, &args, &reply, &status))
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
		"The process meant (default: the one now at the address)",
		"HEX"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse(c, self, extra, &args, 1, 1);

	if (status == CTL_GO_ON)
		status = ctl_load_settings(c);
	if (status == CTL_GO_ON)
		status = drain(c, args[0], incarnation);
	g_strfreev(args);
	g_free(incarnation);
	return status;
}

const struct ctl_command ctl_control_commands[] = {
    {"dump", "ADDRESS [SECTION]", "Show the state of a daemon", run_dump},
    {"drain", "ADDRESS", "Make a daemon finish its work and stop", run_drain},
    {0}};
