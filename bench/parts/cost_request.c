#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/prefix.h>
#include <jacinthhill/relay.h>
#include <jacinthhill/suspects.h>

#include "base/auth.h"
#include "cost.h"
#include "work/job_headers.h"

#define LEVELS 3

struct request {
	struct jh_auth_key key;
	struct jh_str body;
	json_t *root;
};

static char *
chat_body(size_t len)
{
	char *manual = g_malloc(len + 1), *out;
	size_t i;

	for (i = 0; i < len; i++)
		manual[i] = i % 6 == 5 ? ' ' : (char)('a' + i % 26);
	manual[len] = '\0';
	out = g_strdup_printf("{\"model\":\"large\",\"stream\":true,"
			      "\"max_tokens\":256,\"messages\":["
			      "{\"role\":\"system\",\"content\":\"%s\"},"
			      "{\"role\":\"system\",\"content\":\"Answer in "
			      "French.\"},{\"role\":\"user\",\"content\":"
			      "\"How warm is the water?\"}]}",
	    manual);
	g_free(manual);
	return out;
}

/* Formats job headers with the MAC over method, path, headers and body. */
static void
sign(void *arg, uint64_t i)
{
	struct request *r = arg;
	struct jh_job_headers *w = jh_job_headers_create();

	jh_job_headers_set(
	    w, JH_JOB_REQUEST_ID, "0123456789abcdef0123456789abcdef");
	jh_job_headers_set(w, JH_JOB_ORG, "org-00012");
	jh_job_headers_set(w, JH_JOB_CLASS, "class-1");
	jh_job_headers_set(w, JH_JOB_RANK, "urgent");
	jh_job_headers_set_uint(w, JH_JOB_BUDGET_MS, 1000);
	jh_job_headers_set(w, JH_JOB_PREFIX,
	    "0123456789abcdef:8000,0123456789abcdef:400,"
	    "0123456789abcdef:60");
	jh_job_headers_set(w, JH_JOB_SALT, "0123456789abcdef0123456789abcdef");
	jh_job_headers_set_uint(w, JH_JOB_CATALOG_REV, 7800);
	g_strfreev(jh_job_headers_format(
	    w, &r->key, "POST", "/v1/chat/completions", r->body));
	jh_job_headers_destroy(w);
}

static void
parse(void *arg, uint64_t i)
{
	struct request *r = arg;

	json_decref(
	    json_loadb(r->body.ptr, r->body.len, JSON_REJECT_DUPLICATES, NULL));
}

static void
build_prefix(void *arg, uint64_t i)
{
	struct request *r = arg;
	struct jh_prefix_scope scope = {
	    JH_STR("large"), JH_STR("w7"), JH_STR("org-00012")};
	struct jh_prefix_message m[LEVELS];
	char hash[JH_AUTH_HASH_HEX_LEN + 1];
	struct jh_prefix prefix;
	json_t *messages = json_object_get(r->root, "messages"), *o;
	size_t k;

	for (k = 0; k < LEVELS; k++) {
		o = json_array_get(messages, k);
		m[k].role =
		    jh_str_from(json_string_value(json_object_get(o, "role")));
		o = json_object_get(o, "content");
		m[k].content = (struct jh_str){
		    json_string_value(o), json_string_length(o)};
	}
	jh_auth_hash_hex(m[0].content, hash);
	jh_prefix_build(&prefix, &scope, m, LEVELS, 0);
}

static void
fingerprint(void *arg, uint64_t i)
{
	struct request *r = arg;

	jh_fingerprint_of(JH_STR("org-00012"), r->body);
}

#define RELAY_TOKENS 256

static void
on_token(void *arg, uint64_t position, struct jh_str payload)
{
	uint64_t *bytes = arg;

	*bytes += payload.len;
}

static void
on_end(void *arg)
{
}

/* Passes one stream through the check of its positions, without sockets. */
static void
relay_stream(void *arg, uint64_t i)
{
	static const struct jh_relay_ops ops = {
	    .token = on_token, .end = on_end};
	struct jh_relay *r;
	uint64_t bytes = 0;
	char event[160];
	int k, len;

	r = jh_relay_create(0, &ops, &bytes);
	for (k = 1; k <= RELAY_TOKENS; k++) {
		len = snprintf(event, sizeof(event),
		    "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":"
		    "{\"content\":\"word \"}}]}\n\n",
		    k);
		jh_relay_feed(r, (struct jh_str){event, (size_t)len});
	}
	if (jh_relay_position(r) != RELAY_TOKENS)
		printf("request: the relay lost tokens\n");
	jh_relay_destroy(r);
}

void
cost_request(uint64_t seed)
{
	static const size_t sizes[] = {4000, 40000, 400000};
	struct request r = {0};
	size_t i;
	char *text;

	jh_auth_random(r.key.bytes, sizeof(r.key.bytes));
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		unsigned int repeats = (unsigned int)(8000000 / sizes[i]);

		text = chat_body(sizes[i]);
		r.body = jh_str_from(text);
		r.root = json_loadb(r.body.ptr, r.body.len, 0, NULL);
		cost_print("request", sizes[i], "headers and MAC",
		    cost_measure(COST_THREAD, sign, &r, repeats), -1);
		cost_print("request", sizes[i], "parse JSON body",
		    cost_measure(COST_THREAD, parse, &r, repeats), -1);
		cost_print("request", sizes[i], "prefix keys, prompt hash",
		    cost_measure(COST_THREAD, build_prefix, &r, repeats), -1);
		cost_print("request", sizes[i], "fingerprint",
		    cost_measure(COST_THREAD, fingerprint, &r, repeats), -1);
		json_decref(r.root);
		g_free(text);
	}
	cost_print("request", RELAY_TOKENS, "relay of that many tokens",
	    cost_measure(COST_THREAD, relay_stream, &r, 100), -1);
}
