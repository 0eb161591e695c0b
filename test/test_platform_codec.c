#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include <jacinthhill/clock.h>

#include "net/parse.h"
#include "platform/http_codec.h"
#include "platform/wire_names.h"
#include "platform/objects.h"
#include "platform/settings.h"

/* A parser and the head that it has parsed. */
struct head {
	struct jh_http_parser *parse;
	const struct jh_head *head;
};

static void
on_head(void *arg, const struct jh_head *head)
{
	struct head *h = arg;

	h->head = head;
}

static void
on_body(void *arg, const char *p, size_t n)
{
}

static void
on_complete(void *arg)
{
}

static const struct jh_http_parser_ops parse_ops = {
    on_head, on_body, on_complete};

static void
head_init(struct head *h, enum jh_parse_type side, const char *text)
{
	h->parse = jh_http_parser_create(side, 8192, &parse_ops, h);
	h->head = NULL;
	jh_http_parser_feed(h->parse, text, strlen(text));
	assert_non_null(h->head);
}

static const char model_request[] =
    "POST /a/b?c=d HTTP/1.1\r\n"
    "Host: h.example:80\r\n"
    "X-Jacinthhill-Attempt-Id: 9c41d07be2a35f68\r\n"
    "X-Jacinthhill-Model: m1\r\n"
    "X-Jacinthhill-Token-Counts: 1460,80\r\n"
    "X-Jacinthhill-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"
    "X-Jacinthhill-Deadline-Milliseconds: 5000\r\n"
    "X-Jacinthhill-Cache-Salt: forged\r\n"
    "X-Jacinthhill-Tenant: forged\r\n"
    "x-jacinthhill-kv-backup: 10.0.0.1:1\r\n"
    "Kv-From: 10.0.0.1:1/2\r\n"
    "X-Jacinthhill-Hold: forged\r\n"
    "X-Jacinthhill-Pin-Milliseconds: 9\r\n"
    "X-Other: kept\r\n"
    "Connection: keep-alive, X-Hop\r\n"
    "X-Hop: dropped\r\n"
    "Api-Key: secret\r\n"
    "Content-Length: 0\r\n\r\n";

/* Every field of a client's request is decoded. */
static void
client_request_is_decoded(void **state)
{
	const char *reason = NULL;
	struct jh_client_request request;
	struct head h;

	head_init(&h, JH_PARSE_REQUESTS, model_request);
	assert_true(
	    plat_http_codec.read_client_request(h.head, &request, &reason));
	assert_true(jh_str_eq(request.id, JH_STR("9c41d07be2a35f68")));
	assert_true(jh_str_eq(request.path, JH_STR("/a/b")));
	assert_true(jh_str_eq(request.key, JH_STR("secret")));
	assert_int_equal(request.time_limit, 5 * JH_USEC_PER_SEC);
	assert_int_equal(request.prompt_tokens, 1460);
	assert_int_equal(request.output_tokens, 80);
	assert_int_equal(request.n_parts, 3);
	assert_int_equal(request.part[1].tokens, 410);
	assert_true(request.part[0].hash != request.part[1].hash);
	jh_http_parser_destroy(h.parse);
}

/* Guards against knowing a part by what comes before it in the prompt. */
static void
shared_parts_are_known_by_their_ids(void **state)
{
	static const char other[] =
	    "GET / HTTP/1.1\r\nX-Jacinthhill-Prompt-Prefix: "
	    "ab:10, 91bd3f06:7 ,77:1\r\n\r\n";
	const char *reason;
	struct jh_client_request a, b;
	struct head h;

	head_init(&h, JH_PARSE_REQUESTS, model_request);
	assert_true(plat_http_codec.read_client_request(h.head, &a, &reason));
	jh_http_parser_destroy(h.parse);
	head_init(&h, JH_PARSE_REQUESTS, other);
	assert_true(plat_http_codec.read_client_request(h.head, &b, &reason));
	jh_http_parser_destroy(h.parse);
	assert_int_equal(a.n_shared_ids, 2);
	assert_int_equal(b.n_shared_ids, 2);
	assert_true(a.shared_id[1] == b.shared_id[1]);
	assert_true(a.shared_id[0] != b.shared_id[0]);
	assert_true(a.part[1].hash != b.part[1].hash);
}

/*
 * Guards against forwarding the client's values of fields that the gateway
 * sets, its API key, or hop-by-hop fields.
 */
static void
forwarded_request_has_gateway_fields(void **state)
{
	static const char *const forbidden[] = {"forged", "secret", "Api-Key",
	    "Kv-From", "X-Hop", "kv-backup", "Pin-Milliseconds", "X-Hop"};
	struct jh_worker_request request = {.worker = "i-1",
	    .time_limit = 1500 * JH_USEC_PER_MSEC,
	    .org = "t1",
	    .has_urgency = true,
	    .urgency = 2,
	    .salt = "m1/3/",
	    .weights = 3};
	GString *out = g_string_new(NULL);
	struct head h;
	size_t i;

	head_init(&h, JH_PARSE_REQUESTS, model_request);
	plat_http_codec.write_worker_request(out, h.head, &request, 0);
	assert_non_null(strstr(out->str, "POST /a/b?c=d HTTP/1.1\r\n"));
	assert_non_null(strstr(out->str, "Expected-Instance: i-1\r\n"));
	assert_non_null(strstr(out->str, "Deadline-Milliseconds: 1500\r\n"));
	assert_null(strstr(out->str, "Deadline-Milliseconds: 5000"));
	assert_non_null(strstr(out->str, "Jacinthhill-Tenant: t1\r\n"));
	assert_non_null(strstr(out->str, "Expected-Version: 3\r\n"));
	assert_non_null(strstr(out->str, "Cache-Salt: m1/3/\r\n"));
	assert_non_null(strstr(out->str, "X-Other: kept\r\n"));
	assert_non_null(strstr(out->str, "Attempt-Id: 9c41d07be2a35f68\r\n"));
	for (i = 0; i < G_N_ELEMENTS(forbidden); i++)
		if (strstr(out->str, forbidden[i]) != NULL)
			fail_msg("\"%s\" was passed on", forbidden[i]);
	g_string_free(out, TRUE);
	jh_http_parser_destroy(h.parse);
}

/* Guards against accepting invalid values, or rejecting without a reason. */
static void
invalid_values_are_rejected(void **state)
{
	static const char *const heads[] = {
	    "GET / HTTP/1.1\r\n" PLAT_DEADLINE_MSEC ": soon\r\n\r\n",
	    "GET / HTTP/1.1\r\nX-Jacinthhill-Token-Counts: 12\r\n\r\n",
	    "GET / HTTP/1.1\r\nX-Jacinthhill-Prompt-Prefix: ab:x\r\n\r\n",
	    "GET / HTTP/1.1\r\nX-Jacinthhill-Prompt-Prefix: :5\r\n\r\n",
	};
	const char *reason;
	struct jh_client_request request;
	struct head h;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		reason = NULL;
		head_init(&h, JH_PARSE_REQUESTS, heads[i]);
		assert_false(plat_http_codec.read_client_request(
		    h.head, &request, &reason));
		assert_non_null(reason);
		jh_http_parser_destroy(h.parse);
	}
}

/* Responses to other requests and refusals without execution are recognised. */
static void
responses_are_classified(void **state)
{
	struct jh_client_request request = {.id = JH_STR("a1")};
	struct jh_worker_response a;
	struct head h;

	head_init(&h, JH_PARSE_RESPONSES,
	    "HTTP/1.1 200 OK\r\nX-Jacinthhill-Attempt-Id: a0\r\n"
	    "Content-Length: 0\r\n\r\n");
	memset(&a, 0, sizeof(a));
	plat_http_codec.read_worker_response(h.head, &request, &a);
	assert_true(a.stray);
	jh_http_parser_destroy(h.parse);
	head_init(&h, JH_PARSE_RESPONSES,
	    "HTTP/1.1 503 Busy\r\nX-Jacinthhill-Not-Executed: 1\r\n"
	    "X-Jacinthhill-Weight-Versions: 7\r\nContent-Length: 0\r\n\r\n");
	memset(&a, 0, sizeof(a));
	plat_http_codec.read_worker_response(h.head, &request, &a);
	assert_false(a.stray);
	assert_true(a.declined);
	assert_false(a.sealed);
	assert_true(a.has_weights);
	assert_int_equal(a.weights, 7);
	jh_http_parser_destroy(h.parse);
	head_init(&h, JH_PARSE_RESPONSES,
	    "HTTP/1.1 200 OK\r\nX-Jacinthhill-Attempt-Id: a1\r\n"
	    "X-Jacinthhill-Response-Seal: s\r\nContent-Encoding: gzip\r\n"
	    "Content-Length: 0\r\n\r\n");
	memset(&a, 0, sizeof(a));
	plat_http_codec.read_worker_response(h.head, &request, &a);
	assert_true(a.sealed);
	assert_true(a.transformed);
	assert_false(a.declined);
	jh_http_parser_destroy(h.parse);
}

/* Decodes the rate limit of a response with this value of the field. */
static struct jh_worker_response
read_rate_limit(const char *value)
{
	struct jh_client_request request = {.id = JH_STR("a1")};
	char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Limit: %s\r\n"
				     "Content-Length: 0\r\n\r\n",
	    value);
	struct jh_worker_response a = {0};
	struct head h;

	head_init(&h, JH_PARSE_RESPONSES, text);
	plat_http_codec.read_worker_response(h.head, &request, &a);
	jh_http_parser_destroy(h.parse);
	g_free(text);
	return a;
}

static void
rate_limit_is_decoded(void **state)
{
	static const char *const invalid[] = {"", "-1", "1e9", "nan", "1.2.3",
	    ".5", "1,5", "1 2", "123456789012345678901"};
	struct jh_worker_response a;
	size_t i;

	a = read_rate_limit("1.7");
	assert_true(a.has_rate_limit);
	assert_true(a.rate_limit > 1.69 && a.rate_limit < 1.71);
	a = read_rate_limit(" 0 ");
	assert_true(a.has_rate_limit);
	assert_true(a.rate_limit == 0);
	for (i = 0; i < G_N_ELEMENTS(invalid); i++) {
		a = read_rate_limit(invalid[i]);
		assert_false(a.has_rate_limit);
		assert_true(a.invalid_rate_limit);
	}
}

static void
event_weights_are_decoded(void **state)
{
	uint64_t weights = 0;

	assert_true(plat_http_codec.read_event_weights(
	    JH_STR("x-jacinthhill-weight-versions: 4\nid: 3\ndata: x\n\n"),
	    &weights));
	assert_int_equal(weights, 4);
	assert_false(plat_http_codec.read_event_weights(
	    JH_STR("id: 3\ndata: x-jacinthhill-weight-versions: 5\n\n"),
	    &weights));
	assert_int_equal(weights, 4);
}

static const char config[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"h.example\",\"pathPrefix\":\"/a/\","
    "\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":1500,"
    "\"priority\":2,\"split\":[{\"service\":\"s1\",\"weight\":90},"
    "{\"service\":\"s2\",\"weight\":10}],\"attempts\":1,\"public\":false,"
    "\"sticky\":true,\"resumable\":false,\"targetGapMs\":400},"
    "{\"name\":\"r2\",\"host\":\"h.example\",\"pathPrefix\":\"/a/b/\","
    "\"kind\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
    "\"priority\":0,\"service\":\"s2\",\"attempts\":2,\"public\":true}],"
    "\"services\":[{\"name\":\"s1\",\"connectionLimit\":500,"
    "\"engine\":{\"slots\":96,\"kvCapacityTokens\":83645,"
    "\"kvTokenBytes\":96256}},"
    "{\"name\":\"s3\",\"kvStoreAddress\":\"172.20.0.2:8781\","
    "\"zone\":\"z\",\"linkMbps\":270000,\"kvCapacityTokens\":1853103}],"
    "\"limits\":{\"headerBytes\":16384,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"k2\"],"
    "\"priority\":1,\"isolated\":true}]}";

static struct jh_route_table *
decode_config(const char *text, const char **reason)
{
	json_t *root = json_loads(text, 0, NULL);
	struct jh_route_table *t;

	assert_non_null(root);
	t = plat_decode_config(root, reason);
	json_decref(root);
	return t;
}

/* Routes, keys and services of a configuration are decoded. */
static void
config_is_decoded(void **state)
{
	const struct jh_route_org *org;
	const struct jh_service *store;
	const struct jh_route *r;
	const char *reason;
	struct jh_route_table *t = decode_config(config, &reason);

	assert_non_null(t);
	assert_int_equal(jh_route_table_version(t), 7);
	r = jh_route_table_find_route(
	    t, JH_STR("H.example:8080"), JH_STR("/a/x/2f"));
	assert_string_equal(r->name, "r1");
	assert_int_equal(r->kind, JH_ROUTE_STREAM);
	assert_false(jh_route_repeatable(r));
	assert_string_equal(jh_route_pick_service(r, 89), "s1");
	assert_string_equal(jh_route_pick_service(r, 90), "s2");
	r = jh_route_table_find_route(t, JH_STR("h.example"), JH_STR("/a/b/c"));
	assert_string_equal(r->name, "r2");
	assert_true(r->anonymous);
	assert_null(
	    jh_route_table_find_route(t, JH_STR("other"), JH_STR("/a/b/c")));
	assert_null(
	    jh_route_table_find_route(t, JH_STR("h.example"), JH_STR("/ab/")));
	org = jh_route_table_find_key(t, JH_STR("k2"));
	assert_string_equal(org->name, "t1");
	assert_true(org->isolated);
	assert_null(jh_route_table_find_key(t, JH_STR("k3")));
	assert_true(jh_route_table_find_service(t, "s1")->is_engine);
	assert_int_equal(
	    jh_route_table_find_service(t, "s1")->token_bytes, 96256);
	assert_string_equal(jh_route_table_cache_store(t)->name, "s3");
	assert_int_equal(jh_route_table_cache_stores(t, &store, 1), 1);
	assert_string_equal(store->zone, "z");
	assert_int_equal(store->link_mbps, 270000);
	assert_int_equal(store->cache_tokens, 1853103);
	assert_int_equal(jh_route_table_limits(t)->idle_usec, 15000000);
	jh_route_table_unref(t);
}

/* Returns a copy of the text with the first occurrence replaced. */
static char *
replace(const char *text, const char *from, const char *to)
{
	char **parts = g_strsplit(text, from, 2);
	char *out = g_strjoinv(to, parts);

	g_strfreev(parts);
	return out;
}

/* Guards against using the valid part of an invalid configuration. */
static void
invalid_config_is_rejected(void **state)
{
	const char *reason = NULL;
	char *text = replace(config, "\"idempotent\"", "\"sometimes\"");

	assert_null(decode_config(text, &reason));
	assert_true(reason != NULL && strstr(reason, "kind") != NULL);
	g_free(text);
	assert_null(
	    decode_config("{\"version\":\"7\",\"routes\":[]}", &reason));
	assert_string_equal(reason, "version");
}

static bool
decode_worker(
    const char *text, struct jh_listed_worker *out, const char **reason)
{
	json_t *root = json_loads(text, JSON_DECODE_ANY, NULL);
	bool ok;

	assert_non_null(root);
	ok = plat_decode_worker(root, out, reason);
	json_decref(root);
	return ok;
}

/* Guards against accepting invalid worker objects. */
static void
invalid_workers_are_rejected(void **state)
{
	static const char *const bad[] = {"\"text\"", "{}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1\",\"zone\":\"z\","
	    "\"slots\":1,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"slots\":1,\"state\":\"asleep\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"slots\":\"1\",\"state\":\"ready\"}",
	    "{\"service\":7,\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"slots\":1,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"slots\":1,\"state\":\"ready\",\"born\":1.5}",
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"slots\":1,\"state\":\"ready\",\"models\":[{\"name\":\"m\"}]}"};
	struct jh_listed_worker l;
	const char *reason;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		reason = NULL;
		assert_false(decode_worker(bad[i], &l, &reason));
		assert_non_null(reason);
	}
	assert_true(decode_worker(
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	    "\"slots\":96,\"state\":\"draining\",\"born\":1700000000000,"
	    "\"models\":[{\"name\":\"m\",\"version\":3}],\"sequence\":4}",
	    &l, &reason));
	assert_true(l.leaving);
	assert_int_equal(l.n_models, 1);
	assert_int_equal(l.models[0].weights, 3);
}

/* Guards against a worker that is used for the first of its models only. */
static void
all_models_of_a_worker_are_read(void **state)
{
	GString *text = g_string_new("{\"service\":\"s\",\"zone\":\"z\","
				     "\"address\":\"10.0.0.1:1\","
				     "\"slots\":96,\"state\":\"ready\","
				     "\"models\":[");
	size_t len = text->len, n, i;
	struct jh_listed_worker l;
	const char *reason;

	for (n = 0; n <= JH_LISTED_MAX_MODELS + 1; n++) {
		g_string_truncate(text, len);
		for (i = 0; i < n; i++)
			g_string_append_printf(text,
			    "%s{\"name\":\"m%zu\",\"version\":%zu}",
			    i > 0 ? "," : "", i, 100 + i);
		g_string_append(text, "]}");
		assert_int_equal(decode_worker(text->str, &l, &reason),
		    n <= JH_LISTED_MAX_MODELS);
		if (n > JH_LISTED_MAX_MODELS)
			continue;
		assert_int_equal(l.n_models, n);
		for (i = 0; i < n; i++)
			assert_int_equal(l.models[i].weights, 100 + i);
	}
	g_string_free(text, TRUE);
}

static const char settings[] =
    "name: \"e1\"\nzone: \"z0\"\nzones:\n  - name: \"z0\"\n"
    "    region: \"r0\"\ngossip: \"127.0.0.1:7000\"\n"
    "metrics: \"127.0.0.1:7004\"\n"
    "clients: \"127.0.0.1:7001\"\nreadiness: \"127.0.0.1:7002\"\n"
    "store: \"127.0.0.1:7003\"\nmemory_mb: 110\ndescriptors: 4100\n"
    "grace_s: \"8\"\nrepeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
    "repeat_window_s: \"10\"\nholders_apart_ms: 3000\n";

/*
 * Loads settings from a text. Sets *message, which the caller frees, on an
 * error.
 */
static bool
load_settings(const char *text, struct plat_settings *out, char **message)
{
	char *path = g_strdup_printf("/tmp/jh-codec-%d.yaml", (int)getpid());
	GError *err = NULL;
	bool ok;

	assert_true(g_file_set_contents(path, text, -1, NULL));
	memset(out, 0, sizeof(*out));
	ok = plat_settings_load(path, out, &err);
	*message = err != NULL ? g_strdup(err->message) : NULL;
	g_clear_error(&err);
	unlink(path);
	g_free(path);
	return ok;
}

/* The error message names the missing or invalid setting. */
static void
invalid_settings_are_named(void **state)
{
	struct plat_settings s;
	char *message, *text;

	assert_true(load_settings(settings, &s, &message));
	assert_int_equal(s.descriptors, 4100);
	assert_true(s.retry_ratio > 0.19 && s.retry_ratio < 0.21);
	plat_settings_clear(&s);
	text = replace(settings, "\"0.2\"", "\"x.2\"");
	assert_false(load_settings(text, &s, &message));
	assert_true(message != NULL && strstr(message, "repeat_ratio") != NULL);
	plat_settings_clear(&s);
	g_free(message);
	g_free(text);
	text = replace(settings, "store:", "stare:");
	assert_false(load_settings(text, &s, &message));
	assert_true(message != NULL && strstr(message, "store") != NULL);
	plat_settings_clear(&s);
	g_free(message);
	g_free(text);
}

/* Guards against stores that are used though the setting does not say so. */
static void
prefix_stores_are_first_or_all(void **state)
{
	static const struct {
		const char *line;
		bool valid, all;
	} cases[] = {{"", true, false}, {"prefix_stores: first\n", true, false},
	    {"prefix_stores: all\n", true, true},
	    {"prefix_stores: two\n", false, false}};
	struct plat_settings s;
	char *message, *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strconcat(settings, cases[i].line, NULL);
		assert_int_equal(
		    load_settings(text, &s, &message), cases[i].valid);
		assert_int_equal(s.all_prefix_stores, cases[i].all);
		plat_settings_clear(&s);
		g_free(message);
		g_free(text);
	}
}

/* Guards against overload control that another value switches on. */
static void
overload_is_off_unless_on(void **state)
{
	static const char *const lines[] = {"", "overload: off\n",
	    "overload: placement\n", "overload: on\n", "overload: yes\n"};
	struct plat_settings s;
	char *message, *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		text = g_strconcat(settings, lines[i], NULL);
		assert_int_equal(load_settings(text, &s, &message), i < 4);
		assert_int_equal(s.overload_placement, i == 2 || i == 3);
		assert_int_equal(s.overload_refusals, i == 3);
		plat_settings_clear(&s);
		g_free(message);
		g_free(text);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(client_request_is_decoded),
	    cmocka_unit_test(shared_parts_are_known_by_their_ids),
	    cmocka_unit_test(forwarded_request_has_gateway_fields),
	    cmocka_unit_test(invalid_values_are_rejected),
	    cmocka_unit_test(responses_are_classified),
	    cmocka_unit_test(rate_limit_is_decoded),
	    cmocka_unit_test(event_weights_are_decoded),
	    cmocka_unit_test(config_is_decoded),
	    cmocka_unit_test(invalid_config_is_rejected),
	    cmocka_unit_test(invalid_workers_are_rejected),
	    cmocka_unit_test(all_models_of_a_worker_are_read),
	    cmocka_unit_test(invalid_settings_are_named),
	    cmocka_unit_test(prefix_stores_are_first_or_all),
	    cmocka_unit_test(overload_is_off_unless_on),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
