#include <string.h>

#include <jansson.h>

#include "ctl/edit.h"

/* Attempts at one edit; every attempt has the same version condition. */
#define MAX_WRITES 3

static bool
same_content(struct jh_str a, const char *b)
{
	json_t *x = json_loadb(a.ptr, a.len, 0, NULL);
	json_t *y = json_loads(b, 0, NULL);
	bool same = x != NULL && json_equal(x, y);

	json_decref(x);
	json_decref(y);
	return same;
}

static enum jh_store_result
write_once(struct ctl *c, const struct edit *e, struct edit_outcome *out)
{
	struct jh_store_waiter *w = jh_store_waiter_create();
	struct jh_store_callback done = jh_store_waiter_callback(w);
	const struct jh_store_reply *r;
	bool started;

	out->result = JH_STORE_INVALID;
	if (e->text == NULL)
		started = jh_store_delete(
		    c->store, e->key, e->if_version, ctl_deadline(c), done);
	else
		started = jh_store_put(c->store, e->key, jh_str_from(e->text),
		    e->if_version, ctl_deadline(c), done);
	if (started) {
		r = jh_store_waiter_wait(w);
		out->result = r->result;
		out->version = r->version;
		if (r->result == JH_STORE_CONFLICT)
			out->current = jh_str_dup(r->value);
	}
	jh_store_waiter_destroy(w);
	return out->result;
}

/*
 * Sets *out from the object in the store after a write whose response was lost.
 * Returns false if the object does not show whether the edit was made.
 */
static bool
resolve_unknown(const struct edit *e, const struct jh_store_reply *r,
    struct edit_outcome *out)
{
	bool absent = r->result == JH_STORE_NOT_FOUND;
	uint64_t version = absent ? 0 : r->version;

	if (r->result != JH_STORE_OK && !absent)
		return false;
	/* The write may still be in flight. */
	if (version == e->if_version)
		return false;
	out->version = version;
	if (e->text == NULL ? absent : same_content(r->value, e->text)) {
		out->result = JH_STORE_OK;
	} else {
		out->result = JH_STORE_CONFLICT;
		out->current = jh_str_dup(r->value);
	}
	return true;
}

static bool
read_back(struct ctl *c, const struct edit *e, struct edit_outcome *out)
{
	struct jh_store_waiter *w = jh_store_waiter_create();
	bool resolved = false;

	if (jh_store_get(
		c->store, e->key, ctl_deadline(c), jh_store_waiter_callback(w)))
		resolved = resolve_unknown(e, jh_store_waiter_wait(w), out);
	jh_store_waiter_destroy(w);
	return resolved;
}

/*
 * A retry conflicts with an earlier write of the same edit that was made
 * although its response was lost; this counts as success.
 */
static void
resolve_conflict(const struct edit *e, struct edit_outcome *out)
{
	bool done;

	if (e->text == NULL)
		done = out->version == 0;
	else
		done = same_content(jh_str_from(out->current), e->text);
	if (!done)
		return;
	g_free(out->current);
	out->current = NULL;
	out->result = JH_STORE_OK;
}

void
edit_run(struct ctl *c, const struct edit *e, struct edit_outcome *out)
{
	unsigned int i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < MAX_WRITES; i++) {
		if (write_once(c, e, out) != JH_STORE_UNKNOWN)
			break;
		if (read_back(c, e, out))
			return;
	}
	if (out->result == JH_STORE_CONFLICT)
		resolve_conflict(e, out);
	else if (i > 0 && out->result != JH_STORE_OK)
		/* An earlier attempt may have taken effect. */
		out->result = JH_STORE_UNKNOWN;
}
