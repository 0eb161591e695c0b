#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "base/auth.h"
#include "harness.h"

/* Longer than a test waits for a response. */
#define TTFT_TARGET_MS 20000

static struct call *
store_call(
    struct fixture *w, const char *method, const char *key, const char *body)
{
	char *path = g_strdup_printf("/v1/objects/%s", key);
	struct call_spec spec = {.port = w->store.port,
	    .method = method,
	    .path = path,
	    .body = body};
	struct call *c = call_run(&spec);

	g_free(path);
	return c;
}

void
store_put(struct fixture *w, const char *key, const char *json)
{
	struct call *c = store_call(w, "PUT", key, json);

	assert_int_equal(call_status(c), 200);
	call_free(c);
}

void
store_delete(struct fixture *w, const char *key)
{
	struct call *c = store_call(w, "DELETE", key, NULL);

	assert_int_equal(call_status(c), 200);
	call_free(c);
}

unsigned int
store_get(struct fixture *w, const char *key, char **value)
{
	struct call *c = store_call(w, "GET", key, NULL);
	unsigned int status = call_status(c);

	if (value != NULL)
		*value = g_strdup(call_body(c));
	call_free(c);
	return status;
}

void
put_org(struct fixture *w, const char *name, bool disabled)
{
	char *secret = g_strdup_printf("key-%s", name);
	char *key = g_strdup_printf("orgs/%s", name);
	char hash[JH_AUTH_HASH_HEX_LEN + 1];
	char *json;

	jh_auth_hash_hex(jh_str_from(secret), hash);
	json = g_strdup_printf("{\"name\":\"%s\",\"display_name\":\"%s\","
			       "\"disabled\":%s,\"key_hashes\":[\"%s\"]}",
	    name, name, disabled ? "true" : "false", hash);
	store_put(w, key, json);
	g_free(json);
	g_free(key);
	g_free(secret);
}

static void
put_catalogue_entry(struct fixture *w, const char *org, const char *class_name,
    const char *kind, const char *models, bool idempotent, unsigned int ms)
{
	char *key = g_strdup_printf("catalog/%s/%s", org, class_name);
	char *json = g_strdup_printf(
	    "{\"owner\":\"%s\",\"class\":\"%s\",\"kind\":\"%s\","
	    "\"rank\":\"urgent\",\"rank_ceiling\":\"urgent\","
	    "\"models\":[\"%s\"],\"cost_tokens_per_second\":100000000,"
	    "\"concurrent_requests\":1000,\"idempotent\":%s,"
	    "\"ttft_target_ms\":%u,\"shared_prompts\":[]}",
	    org, class_name, kind, models, idempotent ? "true" : "false", ms);

	store_put(w, key, json);
	g_free(json);
	g_free(key);
}

void
put_class(struct fixture *w, const char *org, const char *class_name,
    const char *kind, const char *models, bool idempotent)
{
	put_catalogue_entry(
	    w, org, class_name, kind, models, idempotent, TTFT_TARGET_MS);
}

void
put_pay_class(struct fixture *w, const char *class_name, unsigned int ms)
{
	put_catalogue_entry(
	    w, "alpha", class_name, "service", "pay", false, ms);
}

void
control_set(struct proc *p, const char *json)
{
	struct call_spec spec = {
	    .port = p->port, .path = "/control", .body = json};
	struct call *c = call_run(&spec);

	assert_int_equal(call_status(c), 200);
	call_free(c);
}

json_t *
control_get(struct proc *p, const char *path)
{
	struct call_spec spec = {
	    .port = p->port, .method = "GET", .path = path};
	struct call *c = call_run(&spec);
	json_t *root = NULL;

	if (call_complete(c))
		root = json_loads(call_body(c), 0, NULL);
	call_free(c);
	return root;
}

json_int_t
control_integer(struct proc *p, const char *path, const char *name)
{
	json_t *root = control_get(p, path);
	json_t *v = json_object_get(root, name);
	json_int_t n;

	if (!json_is_integer(v))
		fail_msg("%s has no integer %s", p->name, name);
	n = json_integer_value(v);
	json_decref(root);
	return n;
}
