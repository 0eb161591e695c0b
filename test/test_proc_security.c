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
#include "work/job_headers.h"

#define CHAT "/v1/jobs/chat"
#define CHARGE "/v1/jobs/service/charge"
#define WRONG_SECRET                       \
	"ff112233445566778899aabbccddeeff" \
	"00112233445566778899aabbccddeeff"
#define BODY_LIMIT 65536

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 1,
	    .engines = 1,
	    .services = 1,
	    .engine_args = {"--step-usec", "5000"},
	    .entry_settings = "body_limit: 65536\n"};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

static struct jh_auth_key
parse_key(const char *hex)
{
	struct jh_auth_key key;

	assert_true(jh_auth_key_parse(&key, hex));
	return key;
}

/* The headers of a work request, sealed as an entry daemon does it. */
static char **
sealed_headers(
    const char *secret, const char *method, const char *path, const char *body)
{
	struct jh_auth_key key = parse_key(secret);
	struct jh_job_headers *work = jh_job_headers_create();
	char **lines;

	jh_job_headers_set(work, JH_JOB_REQUEST_ID, "00112233");
	jh_job_headers_set(work, JH_JOB_ORG, "alpha");
	jh_job_headers_set(work, JH_JOB_CLASS, "chat");
	jh_job_headers_set(work, JH_JOB_RANK, "urgent");
	jh_job_headers_set(work, JH_JOB_PREFIX, "0000000000000001:1");
	jh_job_headers_set(
	    work, JH_JOB_SALT, "00000000000000000000000000000000");
	lines =
	    jh_job_headers_format(work, &key, method, path, jh_str_from(body));
	jh_job_headers_destroy(work);
	return lines;
}

/* Sends a work request to an agent; returns the HTTP status. */
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

/* Replaces the first header line that begins with this name. */
static void
replace_header(char **lines, const char *name, const char *line)
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

/*
 * Guards against running work that no entry daemon sent, or that was altered.
 */
static void
test_forged_work(void **state)
{
	struct fixture *w = *state;
	struct proc *agent = &w->agent[0];
	char *body = chat_body("forged", 1, false);
	char *other = chat_body("altered", 1, false);
	json_int_t before = engine_requests(w, 0);
	char **lines;

	assert_int_equal(send_work(agent, "POST", CHAT, NULL, body), 401);
	lines = sealed_headers(WRONG_SECRET, "POST", CHAT, body);
	assert_int_equal(send_work(agent, "POST", CHAT, lines, body), 401);
	g_strfreev(lines);
	lines = sealed_headers(FIXTURE_SECRET, "POST", CHAT, body);
	assert_int_equal(send_work(agent, "POST", CHAT, lines, other), 401);
	assert_int_equal(
	    send_work(agent, "POST", CHAT "?x=1", lines, body), 401);
	assert_int_equal(send_work(agent, "PUT", CHAT, lines, body), 401);
	replace_header(lines, "Jh-Org:", "Jh-Org: beta");
	assert_int_equal(send_work(agent, "POST", CHAT, lines, body), 401);
	g_strfreev(lines);
	assert_int_equal(engine_requests(w, 0), before);
	/* The unaltered request runs. */
	lines = sealed_headers(FIXTURE_SECRET, "POST", CHAT, body);
	assert_int_equal(send_work(agent, "POST", CHAT, lines, body), 200);
	g_strfreev(lines);
	assert_int_equal(engine_requests(w, 0), before + 1);
	g_free(body);
	g_free(other);
}

/* The same for a plain service, whose calls have side effects. */
static void
test_forged_payment(void **state)
{
	static const char body[] = "{\"amount\":900}";
	struct fixture *w = *state;
	struct proc *agent = &w->agent[1];
	char **lines;

	assert_int_equal(send_work(agent, "POST", CHARGE, NULL, body), 401);
	lines = sealed_headers(WRONG_SECRET, "POST", CHARGE, body);
	assert_int_equal(send_work(agent, "POST", CHARGE, lines, body), 401);
	g_strfreev(lines);
	lines = sealed_headers(FIXTURE_SECRET, "POST", CHARGE, body);
	assert_int_equal(
	    send_work(agent, "POST", CHARGE, lines, "{\"amount\":1}"), 401);
	check_runs(w, 0);
	assert_int_equal(send_work(agent, "POST", CHARGE, lines, body), 200);
	g_strfreev(lines);
	check_runs(w, 1);
}

/* Guards against a cancel request that no entry daemon sent. */
static void
test_forged_cancel(void **state)
{
	struct fixture *w = *state;
	char *text = chat_expected_text(w, "cancel me", 200);
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

/* Orders a daemon of this incarnation to drain; returns false on failure. */
static bool
drain(unsigned int port, const char *secret, uint64_t incarnation)
{
	struct sockaddr_in peer = loopback(port);
	struct jh_auth_key key = parse_key(secret);
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

/* Sends a drain order whose payload was altered after it was sealed. */
static bool
drain_altered(unsigned int port, uint64_t incarnation)
{
	const struct jh_rpc_proc *p = jh_rpc_proc_find(JH_DRAIN);
	struct sockaddr_in peer = loopback(port);
	struct jh_auth_key key = parse_key(FIXTURE_SECRET);
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

/* Guards against control messages that no daemon sent, or that were altered. */
static void
test_forged_rpc(void **state)
{
	struct fixture *w = *state;
	unsigned int ports[] = {w->entry_rpc[0], w->rpc_port[0]};
	uint64_t incarnation;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ports); i++) {
		assert_false(is_leaving(ports[i], &incarnation));
		assert_false(drain(ports[i], WRONG_SECRET, incarnation));
		assert_false(drain_altered(ports[i], incarnation));
		assert_false(is_leaving(ports[i], &incarnation));
		/* An order for another incarnation has no effect. */
		assert_true(drain(ports[i], FIXTURE_SECRET, incarnation + 1));
		assert_false(is_leaving(ports[i], &incarnation));
		assert_true(drain(ports[i], FIXTURE_SECRET, incarnation));
		assert_true(is_leaving(ports[i], &incarnation));
	}
}

/* A request that an entry daemon must refuse, and the expected error. */
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
#define VALID_BODY                                                       \
	"{\"model\":\"small\",\"max_tokens\":1,\"messages\":[{\"role\":" \
	"\"user\",\"content\":\"hi\"}]}"

static const struct refusal refusals[] = {
    {CHAT_PATH, NULL, NULL, VALID_BODY, 401, "unauthorized"},
    {CHAT_PATH, "key-gamma", NULL, VALID_BODY, 401, "unauthorized"},
    {CHAT_PATH, "", NULL, VALID_BODY, 401, "unauthorized"},
    {PAY_PATH, NULL, "Idempotency-Key: k", "{}", 401, "unauthorized"},
    {PAY_PATH, "key-gamma", "Idempotency-Key: k", "{}", 401, "unauthorized"},
    {CHAT_PATH, "key-alpha", "X-Organisation: beta", VALID_BODY, 403,
	"wrong_organisation"},
    {CHAT_PATH, "key-alpha", "X-Class: nothing", VALID_BODY, 403,
	"class_not_allowed"},
    {CHAT_PATH, "key-alpha", "X-Class: pay", VALID_BODY, 403,
	"class_not_allowed"},
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
    {CHAT_PATH, "key-alpha", "Last-Event-ID: 17", VALID_BODY, 400,
	"bad_request"},
    {PAY_PATH, "key-alpha", NULL, "{}", 400, "missing_idempotency_key"},
    {PAY_PATH, "key-alpha", "Idempotency-Key;", "{}", 400,
	"missing_idempotency_key"},
    {"/v1/nothing", "key-alpha", NULL, "{}", 404, "not_found"},
    {"/v1/services/pay", "key-alpha", NULL, "{}", 404, "not_found"},
};

static void
check_refused(struct fixture *w, const struct refusal *r)
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

/*
 * Guards against a request that must be refused, but reaches a backend server.
 */
static void
test_refusals(void **state)
{
	struct fixture *w = *state;
	json_int_t before = engine_requests(w, 0);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++)
		check_refused(w, &refusals[i]);
	assert_int_equal(engine_requests(w, 0), before);
	check_runs(w, 0);
}

/*
 * Guards against a body over the limit that is accepted, or refused otherwise.
 */
static void
test_body_limit(void **state)
{
	struct fixture *w = *state;
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
