#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "harness.h"

char *
chat_body(const char *question, unsigned int tokens, bool stream)
{
	json_t *root = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s}]}", "model",
	    "small", "stream", (int)stream, "max_tokens", (int)tokens,
	    "messages", "role", "user", "content", question);
	char *text = json_dumps(root, JSON_COMPACT), *out = g_strdup(text);

	free(text);
	json_decref(root);
	return out;
}

struct call *
chat_start(
    struct fixture *w, unsigned int entry, const char *body, const char *header)
{
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/chat/completions",
	    .key = "key-alpha",
	    .headers = {header},
	    .body = body};

	return call_start(&spec);
}

/* The text of a response without streaming; free with g_free(). */
static char *
response_text(struct call *c)
{
	json_t *root = json_loads(call_body(c), 0, NULL);
	const char *text = NULL;

	json_unpack(
	    root, "{s:[{s:{s:s}}]}", "choices", "message", "content", &text);
	assert_non_null(text);
	text = g_strdup(text);
	json_decref(root);
	return (char *)text;
}

unsigned int
chat_ok(struct fixture *w, unsigned int entry, const char *question)
{
	char *body = chat_body(question, 1, false);
	struct call *c = chat_start(w, entry, body, NULL);
	unsigned int worker;

	call_join(c);
	if (call_status(c) != 200 || !call_complete(c))
		fail_msg(
		    "%u %s (%s)", call_status(c), call_body(c), call_error(c));
	g_free(response_text(c));
	worker = fixture_agent(w, call_header(c, "X-Worker"));
	call_free(c);
	g_free(body);
	return worker;
}

char *
chat_expected_text(struct fixture *w, const char *question, unsigned int n)
{
	char *body = chat_body(question, n, false);
	struct call *c = chat_start(w, 0, body, NULL);
	char *text;

	call_join(c);
	assert_int_equal(call_status(c), 200);
	text = response_text(c);
	call_free(c);
	g_free(body);
	return text;
}

unsigned int
first_status(struct fixture *w, unsigned int entry, const char *key)
{
	char *body = chat_body("first?", 1, false);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/chat/completions",
	    .key = key,
	    .body = body};
	uint64_t until = jh_now() + AWAIT_USEC;
	unsigned int status = 0;
	struct call *c;

	while (status == 0 && jh_now() < until) {
		c = call_run(&spec);
		status = call_status(c);
		call_free(c);
	}
	g_free(body);
	return status;
}

static uint64_t
event_position(const struct event *ev)
{
	const char *colon = strrchr(ev->id, ':');

	assert_non_null(colon);
	return g_ascii_strtoull(colon + 1, NULL, 10);
}

static void
append_text(GString *out, const struct event *ev)
{
	json_t *root = json_loads(ev->data, 0, NULL);
	const char *text = NULL;

	json_unpack(
	    root, "{s:[{s:{s:s}}]}", "choices", "delta", "content", &text);
	assert_non_null(text);
	g_string_append(out, text);
	json_decref(root);
}

void
check_stream(
    struct call *const *calls, size_t n_calls, unsigned int n, const char *text)
{
	GString *got = g_string_new(NULL);
	const GPtrArray *events;
	const struct event *ev;
	uint64_t position = 0;
	unsigned int ends = 0;
	size_t c;
	guint i;

	for (c = 0; c < n_calls; c++) {
		assert_int_equal(call_status(calls[c]), 200);
		events = call_events(calls[c]);
		for (i = 0; i < events->len; i++) {
			ev = events->pdata[i];
			assert_int_equal(ends, 0);
			assert_non_null(ev->data);
			if (strcmp(ev->data, "[DONE]") == 0) {
				ends++;
				continue;
			}
			assert_non_null(ev->id);
			assert_int_equal(event_position(ev), ++position);
			append_text(got, ev);
		}
	}
	assert_int_equal(position, n);
	assert_int_equal(ends, 1);
	assert_true(call_complete(calls[n_calls - 1]));
	assert_string_equal(got->str, text);
	g_string_free(got, TRUE);
}

unsigned int
stream_workers(const struct call *c)
{
	const GPtrArray *events = call_events(c);
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const struct event *ev;
	unsigned int n;
	guint i;

	for (i = 0; i < events->len; i++) {
		ev = events->pdata[i];
		if (ev->id != NULL)
			g_hash_table_add(
			    seen, g_strndup(ev->id,
				      (gsize)(strrchr(ev->id, ':') - ev->id)));
	}
	n = g_hash_table_size(seen);
	g_hash_table_destroy(seen);
	return n;
}

json_int_t
engine_requests(struct fixture *w, unsigned int engine)
{
	return control_integer(&w->backend[engine], "/control", "requests");
}

json_int_t
engine_load(struct fixture *w, unsigned int engine)
{
	struct proc *p = &w->backend[engine];

	return control_integer(p, "/v1/load", "running") +
	       control_integer(p, "/v1/load", "waiting");
}

json_int_t
engines_load(struct fixture *w)
{
	json_int_t sum = 0;
	unsigned int i;

	for (i = 0; i < w->engines; i++) {
		if (w->backend[i].pid != 0)
			sum += engine_load(w, i);
	}
	return sum;
}

void
check_error(
    struct call *c, unsigned int status, const char *code, const char *ran)
{
	const char *got_code = NULL, *got_ran = NULL, *message = NULL;
	json_t *root = json_loads(call_body(c), 0, NULL);

	if (json_unpack(root, "{s:{s:s, s:s, s:s !}}", "error", "code",
		&got_code, "message", &message, "ran", &got_ran) != 0)
		fail_msg("not an error response: %u %s", call_status(c),
		    call_body(c));
	if (strcmp(got_code, code) != 0 || strcmp(got_ran, ran) != 0 ||
	    call_status(c) != status)
		fail_msg("got %u %s %s, expected %u %s %s", call_status(c),
		    got_code, got_ran, status, code, ran);
	json_decref(root);
}

struct call *
pay_start(struct fixture *w, unsigned int entry, const char *key,
    const char *body, const char *header)
{
	char *line = g_strdup_printf("Idempotency-Key: %s", key);
	struct call_spec spec = {.port = w->entry[entry].port,
	    .path = "/v1/services/pay/charge",
	    .key = "key-alpha",
	    .headers = {line, header},
	    .body = body};
	struct call *c = call_start(&spec);

	g_free(line);
	return c;
}

void
check_receipt(struct call *c, const char *receipt)
{
	char *want = g_strdup_printf(
	    "{\"status\":\"done\",\"receipt\":\"%s\"}", receipt);

	call_join(c);
	if (call_status(c) != 200)
		fail_msg("%u %s", call_status(c), call_body(c));
	assert_true(call_complete(c));
	assert_string_equal(call_body(c), want);
	g_free(want);
}

json_int_t
service_runs(struct fixture *w)
{
	json_int_t sum = 0;
	unsigned int i;

	for (i = w->engines; i < w->agents; i++)
		sum += control_integer(&w->backend[i], "/control", "total") -
		       w->probe_runs[i];
	return sum;
}

void
check_runs(struct fixture *w, json_int_t runs)
{
	json_t *root;
	unsigned int i;

	assert_int_equal(service_runs(w), runs);
	for (i = w->engines; i < w->agents; i++) {
		root = control_get(&w->backend[i], "/control");
		assert_int_equal(
		    json_array_size(json_object_get(root, "repeated")), 0);
		json_decref(root);
	}
}

unsigned int
service_used(struct fixture *w)
{
	unsigned int i;

	for (i = w->engines; i < w->agents; i++) {
		if (control_integer(&w->backend[i], "/control", "total") >
		    w->probe_runs[i])
			return i;
	}
	fail_msg("no service has run a call");
	return 0;
}

void
services_set(struct fixture *w, const char *json)
{
	unsigned int i;

	for (i = w->engines; i < w->agents; i++)
		control_set(&w->backend[i], json);
}
