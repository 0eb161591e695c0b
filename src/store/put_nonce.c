#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "store/internal.h"
#include "store/store.h"

/* Attempts to write one object; all are conditional on the same version. */
#define MAX_ATTEMPTS 3

/* Timeout of each store call, so that one that hangs is retried. */
#define CALL_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)

/* A jh_store_put_nonce() in progress. */
struct nonce_write {
	struct jh_store *store;
	char *key;
	char *value;
	size_t len;
	char *nonce;
	uint64_t if_version;
	uint64_t deadline;
	struct jh_store_callback done;
	unsigned int attempts;
	bool maybe_written; /* some write may have taken effect, or may yet */
};

static bool start_write(struct nonce_write *t);

bool
jh_store_value_has_nonce(struct jh_str value, const char *nonce)
{
	json_t *o = json_loadb(value.ptr, value.len, 0, NULL);
	const char *found = json_string_value(json_object_get(o, "nonce"));
	bool same = found != NULL && strcmp(found, nonce) == 0;

	json_decref(o);
	return same;
}

static void
finish(struct nonce_write *t, const struct jh_store_reply *reply)
{
	t->done.fn(t->done.arg, reply);
	g_free(t->key);
	g_free(t->value);
	g_free(t->nonce);
	g_free(t);
}

/* Ends with a failure: unknown if a write may have taken effect. */
static void
fail(struct nonce_write *t, enum jh_store_result result)
{
	struct jh_store_reply r = {
	    .result = t->maybe_written ? JH_STORE_UNKNOWN : result,
	    .value = JH_STR("")};

	finish(t, &r);
}

static uint64_t
call_deadline(const struct nonce_write *t)
{
	return MIN(t->deadline, jh_now() + CALL_TIMEOUT_USEC);
}

static bool
may_retry(const struct nonce_write *t)
{
	return !store_is_stopping(t->store) && jh_now() < t->deadline;
}

/* The object has changed; its nonce tells whether this call wrote it. */
static void
finish_by_nonce(struct nonce_write *t, const struct jh_store_reply *reply)
{
	struct jh_store_reply r = *reply;

	r.result = jh_store_value_has_nonce(reply->value, t->nonce)
		       ? JH_STORE_OK
		       : JH_STORE_CONFLICT;
	finish(t, &r);
}

static void
on_read(void *arg, const struct jh_store_reply *reply)
{
	struct nonce_write *t = arg;

	if (reply->result == JH_STORE_OK && reply->version != t->if_version) {
		finish_by_nonce(t, reply);
		return;
	}
	if (reply->result == JH_STORE_NOT_FOUND && t->if_version != 0) {
		finish_by_nonce(t, reply);
		return;
	}
	/*
	 * The object is unchanged, or could not be read. The write without a
	 * reply may still arrive. Only another attempt on the same version
	 * tells: of these attempts, at most one can take effect.
	 */
	if (t->attempts >= MAX_ATTEMPTS || !may_retry(t) || !start_write(t))
		fail(t, JH_STORE_UNKNOWN);
}

static void
on_written(void *arg, const struct jh_store_reply *reply)
{
	struct nonce_write *t = arg;
	struct jh_store_callback next = {on_read, t};

	switch (reply->result) {
	case JH_STORE_OK:
		finish(t, reply);
		break;
	case JH_STORE_CONFLICT:
		finish_by_nonce(t, reply);
		break;
	case JH_STORE_UNKNOWN:
		t->maybe_written = true;
		if (!may_retry(t) ||
		    !jh_store_get(t->store, t->key, call_deadline(t), next))
			fail(t, JH_STORE_UNKNOWN);
		break;
	default:
		fail(t, reply->result);
	}
}

static bool
start_write(struct nonce_write *t)
{
	struct jh_store_callback next = {on_written, t};
	struct jh_str value = {t->value, t->len};

	t->attempts++;
	return jh_store_put(
	    t->store, t->key, value, t->if_version, call_deadline(t), next);
}

bool
jh_store_put_nonce(struct jh_store *s, const char *key, struct jh_str value,
    const char *nonce, uint64_t if_version, uint64_t deadline,
    struct jh_store_callback done)
{
	struct nonce_write *t;

	g_return_val_if_fail(if_version != JH_STORE_ANY, false);
	t = g_new0(struct nonce_write, 1);
	t->store = s;
	t->key = g_strdup(key);
	t->value = jh_str_dup(value);
	t->len = value.len;
	t->nonce = g_strdup(nonce);
	t->if_version = if_version;
	t->deadline = deadline;
	t->done = done;
	if (start_write(t))
		return true;
	g_free(t->key);
	g_free(t->value);
	g_free(t->nonce);
	g_free(t);
	return false;
}
