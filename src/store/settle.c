#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "store/internal.h"
#include "store/store.h"

/* Writes tried for one object; each is conditional on the same version. */
#define MAX_WRITES 3

/* Longest wait for one answer while settling, so that a hang is retried. */
#define STEP_USEC (2 * JH_USEC_PER_SEC)

/* A write whose lost answer is settled by its nonce. */
struct settle {
	struct jh_store *store;
	char *key;
	char *value;
	size_t len;
	char *nonce;
	uint64_t if_version;
	uint64_t deadline;
	struct jh_store_done done;
	unsigned int writes;
	bool unsure; /* some write may have taken effect, or may yet */
};

static bool start_write(struct settle *t);

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
finish(struct settle *t, const struct jh_store_reply *reply)
{
	t->done.fn(t->done.arg, reply);
	g_free(t->key);
	g_free(t->value);
	g_free(t->nonce);
	g_free(t);
}

/* Ends with a result that leaves an unsure write unknown. */
static void
give_up(struct settle *t, enum jh_store_result result)
{
	struct jh_store_reply r = {
	    .result = t->unsure ? JH_STORE_UNKNOWN : result,
	    .value = JH_STR("")};

	finish(t, &r);
}

static uint64_t
step_deadline(const struct settle *t)
{
	return MIN(t->deadline, jh_now() + STEP_USEC);
}

static bool
may_go_on(const struct settle *t)
{
	return !store_is_stopping(t->store) && jh_now() < t->deadline;
}

/* Another version stands there: ours by nonce, or somebody else's. */
static void
settle_by_value(struct settle *t, const struct jh_store_reply *reply)
{
	struct jh_store_reply r = *reply;

	r.result = jh_store_value_has_nonce(reply->value, t->nonce)
		       ? JH_STORE_OK
		       : JH_STORE_CONFLICT;
	finish(t, &r);
}

static void
on_read_back(void *arg, const struct jh_store_reply *reply)
{
	struct settle *t = arg;

	if (reply->result == JH_STORE_OK && reply->version != t->if_version) {
		settle_by_value(t, reply);
		return;
	}
	if (reply->result == JH_STORE_NOT_FOUND && t->if_version != 0) {
		settle_by_value(t, reply);
		return;
	}
	/*
	 * The old state still stands, or could not be read. The lost write
	 * may be on its way, so only the same write again can settle it.
	 */
	if (t->writes >= MAX_WRITES || !may_go_on(t) || !start_write(t))
		give_up(t, JH_STORE_UNKNOWN);
}

static void
on_written(void *arg, const struct jh_store_reply *reply)
{
	struct settle *t = arg;
	struct jh_store_done next = {on_read_back, t};

	switch (reply->result) {
	case JH_STORE_OK:
		finish(t, reply);
		break;
	case JH_STORE_CONFLICT:
		settle_by_value(t, reply);
		break;
	case JH_STORE_UNKNOWN:
		t->unsure = true;
		if (!may_go_on(t) ||
		    !jh_store_get(t->store, t->key, step_deadline(t), next))
			give_up(t, JH_STORE_UNKNOWN);
		break;
	default:
		give_up(t, reply->result);
	}
}

static bool
start_write(struct settle *t)
{
	struct jh_store_done next = {on_written, t};
	struct jh_str value = {t->value, t->len};

	t->writes++;
	return jh_store_put(
	    t->store, t->key, value, t->if_version, step_deadline(t), next);
}

bool
jh_store_put_nonce(struct jh_store *s, const char *key, struct jh_str value,
    const char *nonce, uint64_t if_version, uint64_t deadline,
    struct jh_store_done done)
{
	struct settle *t;

	g_return_val_if_fail(if_version != JH_STORE_ANY, false);
	t = g_new0(struct settle, 1);
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
