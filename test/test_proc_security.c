#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "harness.h"
#include "rpc/proc.h"
#include "rpc/seal.h"
#include "rpc/server.h"
#include "work/work.h"

#define CHAT "/v1/jobs/chat"
#define CHARGE "/v1/jobs/service/charge"
#define WRONG_SECRET                       \
	"ff112233445566778899aabbccddeeff" \
	"00112233445566778899aabbccddeeff"
#define BODY_LIMIT 65536

static int
setup(void **state)
{
	static const struct world_spec spec = {.entries = 1,
	    .engines = 1,
	    .services = 1,
	    .engine_args = {"--step-usec", "5000"},
	    .entry_settings = "body_limit: 65536\n"};

	*state = world_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	world_destroy(*state);
	return 0;
}

static struct jh_auth_key
key_of(const char *hex)
{
	struct jh_auth_key key;

	assert_true(jh_auth_key_parse(&key, hex));
	return key;
}

/* A work request as an entry daemon sends it. */
static char **
sealed_headers(
    const char *secret, const char *method, const char *path, const char *body)
{
	struct jh_auth_key key = key_of(secret);
	struct jh_work *w = jh_work_create();
	char **lines;

	jh_work_set(w, JH_WORK_REQUEST_ID, "00112233");
	jh_work_set(w, JH_WORK_ORG, "alpha");
	jh_work_set(w, JH_WORK_CLASS, "chat");
	jh_work_set(w, JH_WORK_RANK, "urgent");
	jh_work_set(w, JH_WORK_PREFIX, "0000000000000001:1");
	jh_work_set(w, JH_WORK_SALT, "00000000000000000000000000000000");
	lines = jh_work_headers(w, &key, method, path, jh_str_from(body));
	jh_work_destroy(w);
	return lines;
}

/* Sends a work request to an agent; returns the status. */
static unsigned int
send_work(struct proc *agent, const char *method, const char *path,
    char **lines, const char *body)
{
	struct call_spec spec = {
	    .port = agent->port, .method = method, .path = path, .body = body};
	struct call *c;
	unsigned int status;
	size_t i;

	for (i = 0; lines != NULL && lines[i] != NULL; i++) {
		assert_true(i < G_N_ELEMENTS(spec.headers));
		spec.headers[i] = lines[i];
	}
	c = call_run(&spec);
	status = call_status(c);
	if (status == 401)
		assert_string_equal(call_header(c, "Jh-Outcome"), "not_run");
	call_free(c);
	return status;
}

/* Exchanges one header line that begins with this name. */
static void
forge(char **lines, const char *name, const char *line)
{
	for (; *lines != NULL; lines++) {
		if (g_str_has_prefix(*lines, name)) {
			g_free(*lines);
			*lines = g_strdup(line);
			return;
		}
	}
	fail_msg("no header %s", name);
}

/* An agent runs work that no entry daemon sent, or that was altered. */
static void
test_forged_work(void **state)
{
	struct world *w = *state;
	struct proc *agent = &w->agent[0];
	char *body = chat_body("forged", 1, false);
	char *other = chat_body("altered", 1, false);
	json_int_t before = engine_requests(w, 0);
	char **lines;

	assert_int_equal(send_work(agent, "POST", CHAT, NULL, body), 401);
	lines = sealed_headers(WRONG_SECRET, "POST", CHAT, body);
	assert_int_equal(send_work(agent, "POST", CHAT, lines, body), 401);
	g_strfreev(lines);
	lines = sealed_headers(WORLD_SECRET, "POST", CHAT, body);
	assert_int_equal(send_work(agent, "POST", CHAT, lines, other), 401);
	assert_int_equal(
	    send_work(agent, "POST", CHAT "?x=1", lines, body), 401);
	assert_int_equal(send_work(agent, "PUT", CHAT, lines, body), 401);
	forge(lines, "Jh-Org:", "Jh-Org: beta");
	assert_int_equal(send_work(agent, "POST", CHAT, lines, body), 401);
	g_strfreev(lines);
	assert_int_equal(engine_requests(w, 0), before);
	/* The same, unaltered, does run. */
	lines = sealed_headers(WORLD_SECRET, "POST", CHAT, body);
	assert_int_equal(send_work(agent, "POST", CHAT, lines, body), 200);
	g_strfreev(lines);
	assert_int_equal(engine_requests(w, 0), before + 1);
	g_free(body);
	g_free(other);
}

/* The same for a plain service, whose calls have effects. */
static void
test_forged_payment(void **state)
{
	static const char body[] = "{\"amount\":900}";
	struct world *w = *state;
	struct proc *agent = &w->agent[1];
	char **lines;

	assert_int_equal(send_work(agent, "POST", CHARGE, NULL, body), 401);
	lines = sealed_headers(WRONG_SECRET, "POST", CHARGE, body);
	assert_int_equal(send_work(agent, "POST", CHARGE, lines, body), 401);
	g_strfreev(lines);
	lines = sealed_headers(WORLD_SECRET, "POST", CHARGE, body);
	assert_int_equal(
	    send_work(agent, "POST", CHARGE, lines, "{\"amount\":1}"), 401);
	check_runs(w, 0);
	assert_int_equal(send_work(agent, "POST", CHARGE, lines, body), 200);
	g_strfreev(lines);
	check_runs(w, 1);
}

/* A stream is cancelled by someone who is no entry daemon. */
static void
test_forged_cancel(void **state)
{
	struct world *w = *state;
	char *text = chat_reference(w, "cancel me", 200);
	char *body = chat_body("cancel me", 200, true);
	struct call *c = chat_start(w, 0, body, NULL);
	char **lines, *path;

	await(call_event_count(c) > 10);
	path = g_strdup_printf("/v1/jobs/%s", call_header(c, "X-Request-Id"));
	assert_int_equal(
	    send_work(&w->agent[0], "DELETE", path, NULL, NULL), 401);
	lines = sealed_headers(WRONG_SECRET, "DELETE", path, "");
	assert_int_equal(
	    send_work(&w->agent[0], "DELETE", path, lines, NULL), 401);
	g_strfreev(lines);
	call_join(c);
	check_stream(&c, 1, 200, text);
	call_free(c);
	g_free(path);
	g_free(body);
	g_free(text);
}

static struct sockaddr_in
loopback(unsigned int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)port)};
}

/* Asks a daemon to drain, with its true incarnation. */
static bool
drain(unsigned int port, const char *secret, uint64_t incarnation)
{
	struct sockaddr_in peer = loopback(port);
	struct jh_auth_key key = key_of(secret);
	struct jh_drain_args args = {incarnation};
	struct jh_status_reply reply = {0};
	GError *err = NULL;
	bool ok = jh_rpc_call(&peer, &key, JH_DRAIN, &args, &reply,
	    jh_now() + 5 * JH_USEC_PER_SEC, &err);

	if (ok)
		jh_rpc_reply_clear(JH_DRAIN, &reply);
	g_clear_error(&err);
	return ok;
}

/* A drain order whose payload was exchanged after it was sealed. */
static bool
drain_altered(unsigned int port, uint64_t incarnation)
{
	const struct jh_rpc_proc *p = jh_rpc_proc_find(JH_DRAIN);
	struct sockaddr_in peer = loopback(port);
	struct jh_auth_key key = key_of(WORLD_SECRET);
	struct jh_drain_args args = {incarnation ^ 1};
	struct jh_sealed out = {0}, in = {0};
	struct timeval limit = {5, 0};
	int fd = RPC_ANYSOCK;
	CLIENT *c;
	bool ok;

	assert_true(
	    jh_seal(&key, JH_DRAIN, JH_SEAL_REQUEST, p->args, &args, &out));
	out.payload.payload_val[out.payload.payload_len - 1] ^= 1;
	c = clnttcp_create(&peer, JH_CONTROL, JH_CONTROL_V1, &fd, 0, 0);
	assert_non_null(c);
	ok = clnt_call(c, JH_DRAIN, (xdrproc_t)xdr_jh_sealed, (char *)&out,
		 (xdrproc_t)xdr_jh_sealed, (char *)&in, limit) == RPC_SUCCESS;
	xdr_free((xdrproc_t)xdr_jh_sealed, (char *)&in);
	xdr_free((xdrproc_t)xdr_jh_sealed, (char *)&out);
	clnt_destroy(c);
	return ok;
}

static bool
is_leaving(unsigned int port, uint64_t *incarnation)
{
	json_t *root = daemon_dump(port);
	const char *text =
	    json_string_value(json_object_get(root, "incarnation"));
	bool leaving = json_is_true(json_object_get(root, "leaving"));

	assert_non_null(text);
	*incarnation = g_ascii_strtoull(text, NULL, 16);
	json_decref(root);
	return leaving;
}

/* A control message that no daemon sent, or that was altered, takes effect. */
static void
test_forged_rpc(void **state)
{
	struct world *w = *state;
	unsigned int ports[] = {w->entry_rpc[0], w->rpc_port[0]};
	uint64_t incarnation;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ports); i++) {
		assert_false(is_leaving(ports[i], &incarnation));
		assert_false(drain(ports[i], WRONG_SECRET, incarnation));
		assert_false(drain_altered(ports[i], incarnation));
		assert_false(is_leaving(ports[i], &incarnation));
		/* An order for the incarnation before changes nothing. */
		assert_true(drain(ports[i], WORLD_SECRET, incarnation + 1));
		assert_false(is_leaving(ports[i], &incarnation));
		assert_true(drain(ports[i], WORLD_SECRET, incarnation));
		assert_true(is_leaving(ports[i], &incarnation));
	}
}

/* One request that an entry daemon must refuse. */
struct refusal {
	const char *path;
	const char *key;
	const char *header;
	const char *body;
	unsigned int status;
	const char *code;
};

#define CHAT_PATH "/v1/chat/completions"
#define PAY_PATH "/v1/services/pay/charge"
#define GOOD                                                             \
	"{\"model\":\"small\",\"max_tokens\":1,\"messages\":[{\"role\":" \
	"\"user\",\"content\":\"hi\"}]}"

static const struct refusal refusals[] = {
    {CHAT_PATH, NULL, NULL, GOOD, 401, "unauthorized"},
    {CHAT_PATH, "key-gamma", NULL, GOOD, 401, "unauthorized"},
    {CHAT_PATH, "", NULL, GOOD, 401, "unauthorized"},
    {PAY_PATH, NULL, "Idempotency-Key: k", "{}", 401, "unauthorized"},
    {PAY_PATH, "key-gamma", "Idempotency-Key: k", "{}", 401, "unauthorized"},
    {CHAT_PATH, "key-alpha", "X-Organisation: beta", GOOD, 403,
	"wrong_organisation"},
    {CHAT_PATH, "key-alpha", "X-Class: nothing", GOOD, 403,
	"class_not_allowed"},
    {CHAT_PATH, "key-alpha", "X-Class: pay", GOOD, 403, "class_not_allowed"},
    {PAY_PATH, "key-alpha", "X-Class: chat", "{}", 403, "class_not_allowed"},
    {"/v1/services/other/x", "key-alpha", "X-Class: look", "{}", 403,
	"class_not_allowed"},
    {CHAT_PATH, "key-alpha", NULL, "{\"model\":", 400, "bad_json"},
    {CHAT_PATH, "key-alpha", NULL, "[]", 400, "bad_json"},
    {CHAT_PATH, "key-alpha", NULL, "", 400, "bad_json"},
    {CHAT_PATH, "key-alpha", NULL, "{\"model\":\"small\"}", 400, "bad_request"},
    {CHAT_PATH, "key-alpha", NULL,
	"{\"model\":\"huge\",\"messages\":[{\"role\":\"user\",\"content\":"
	"\"hi\"}]}",
	404, "unknown_model"},
    {CHAT_PATH, "key-alpha", "Last-Event-ID: 17", GOOD, 400, "bad_request"},
    {PAY_PATH, "key-alpha", NULL, "{}", 400, "missing_idempotency_key"},
    {PAY_PATH, "key-alpha", "Idempotency-Key;", "{}", 400,
	"missing_idempotency_key"},
    {"/v1/nothing", "key-alpha", NULL, "{}", 404, "not_found"},
    {"/v1/services/pay", "key-alpha", NULL, "{}", 404, "not_found"},
};

static void
check_refused(struct world *w, const struct refusal *r)
{
	struct call_spec spec = {.port = w->entry[0].port,
	    .path = r->path,
	    .key = r->key,
	    .headers = {r->header},
	    .body = r->body};
	struct call *c = call_run(&spec);

	check_error(c, r->status, r->code, "not_run");
	call_free(c);
}

/* A request that must be refused reaches a backend server. */
static void
test_refusals(void **state)
{
	struct world *w = *state;
	json_int_t before = engine_requests(w, 0);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++)
		check_refused(w, &refusals[i]);
	assert_int_equal(engine_requests(w, 0), before);
	check_runs(w, 0);
}

/* A body over the limit is taken, or its refusal has another form. */
static void
test_body_limit(void **state)
{
	struct world *w = *state;
	json_int_t before = engine_requests(w, 0);
	char *text = g_strnfill(BODY_LIMIT, 'x');
	char *body = chat_body(text, 1, false);
	struct refusal chat = {
	    CHAT_PATH, "key-alpha", NULL, body, 413, "body_too_large"};
	struct refusal pay = {PAY_PATH, "key-alpha", "Idempotency-Key: k", body,
	    413, "body_too_large"};

	check_refused(w, &chat);
	check_refused(w, &pay);
	assert_int_equal(engine_requests(w, 0), before);
	check_runs(w, 0);
	g_free(body);
	g_free(text);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_forged_work, setup, teardown),
    cmocka_unit_test_setup_teardown(test_forged_payment, setup, teardown),
    cmocka_unit_test_setup_teardown(test_forged_cancel, setup, teardown),
    cmocka_unit_test_setup_teardown(test_forged_rpc, setup, teardown),
    cmocka_unit_test_setup_teardown(test_refusals, setup, teardown),
    cmocka_unit_test_setup_teardown(test_body_limit, setup, teardown),
};

HARNESS_MAIN(tests)
