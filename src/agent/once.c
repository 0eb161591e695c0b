#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/ledger.h>

#include "agent/once.h"
#include "agent/once_query.h"
#include "agent/once_reply.h"
#include "agent/service_call.h"
#include "base/event.h"
#include "store/store.h"

#define MAX_STORE_CALLS 4096
#define STORE_TIMEOUT_USEC (1 * JH_USEC_PER_SEC)
#define DEFAULT_BUDGET_MS 30000

/* An attempt that waits for its reply, with the request that carried it. */
struct attempt {
	uint64_t id;
	struct agent_once *once;
	struct jh_http_req *req;
	char *path;
	struct jh_job_parts parts;
};

struct agent_once {
	struct agent *agent;
	struct jh_store *store;
	struct once_query *query;
	pthread_mutex_t lock; /* guards all below */
	struct jh_ledger *ledger;
	GHashTable *attempts; /* &id -> struct attempt */
	uint64_t next_attempt;
};

/* An operation in progress; its result is passed to the ledger. */
struct pending_op {
	struct agent_once *once;
	uint64_t op;
};

static void run_actions(struct agent_once *o);

static struct pending_op *
pending_op_create(struct agent_once *o, uint64_t op)
{
	struct pending_op *p = g_new0(struct pending_op, 1);

	p->once = o;
	p->op = op;
	return p;
}

/* The ledger distinguishes only whether a write may have taken effect. */
static enum jh_store_result
convert_result(enum jh_store_result result)
{
	if (result == JH_STORE_THROTTLED || result == JH_STORE_INVALID)
		return JH_STORE_UNAVAILABLE;
	return result;
}

static void
on_store_done(void *arg, const struct jh_store_reply *reply)
{
	struct pending_op *p = arg;
	struct agent_once *o = p->once;

	pthread_mutex_lock(&o->lock);
	jh_ledger_store_result(o->ledger, jh_now(), p->op,
	    convert_result(reply->result), reply->version, reply->value);
	pthread_mutex_unlock(&o->lock);
	g_free(p);
	run_actions(o);
}

static void
start_store_call(struct agent_once *o, const struct jh_ledger_action *act)
{
	struct jh_str value = {act->value, act->value_len};
	struct pending_op *p = pending_op_create(o, act->op);
	struct jh_store_callback done = {on_store_done, p};
	uint64_t deadline = jh_now() + STORE_TIMEOUT_USEC;
	bool started;

	if (act->act == JH_LEDGER_READ)
		started = jh_store_get(o->store, act->object, deadline, done);
	else
		started = jh_store_put(o->store, act->object, value,
		    act->act == JH_LEDGER_CREATE ? JH_STORE_ABSENT
						 : act->version,
		    deadline, done);
	if (started)
		return;
	g_free(p);
	pthread_mutex_lock(&o->lock);
	jh_ledger_store_result(o->ledger, jh_now(), act->op,
	    JH_STORE_UNAVAILABLE, 0, (struct jh_str){NULL, 0});
	pthread_mutex_unlock(&o->lock);
}

static void
on_query_result(void *arg, uint64_t op, enum jh_nonce_state state,
    struct jh_call_response *response)
{
	struct agent_once *o = arg;

	pthread_mutex_lock(&o->lock);
	jh_ledger_peer_result(o->ledger, jh_now(), op, state, response);
	pthread_mutex_unlock(&o->lock);
	run_actions(o);
}

static const struct once_query_ops query_ops = {.on_result = on_query_result};

static void
on_service_done(void *arg, const struct service_call_response *response)
{
	struct pending_op *p = arg;
	struct agent_once *o = p->once;
	struct jh_call_response *kept;

	pthread_mutex_lock(&o->lock);
	if (response->result == JH_HTTP_OK && !response->too_long) {
		kept = jh_call_response_create(response->status,
		    jh_str_from(response->type), response->body);
		jh_ledger_backend_response(o->ledger, jh_now(), p->op, kept);
		jh_call_response_unref(kept);
	} else {
		jh_ledger_backend_failed(o->ledger, jh_now(), p->op,
		    response->result != JH_HTTP_NOT_SENT);
	}
	pthread_mutex_unlock(&o->lock);
	g_free(p);
	run_actions(o);
}

static const struct service_call_ops service_ops = {.done = on_service_done};

/*
 * Returns a reference to the request of a waiting attempt and copies of its
 * path and parts, or NULL.
 */
static struct jh_http_req *
find_request(
    struct agent_once *o, uint64_t id, char **path, struct jh_job_parts *parts)
{
	struct jh_http_req *req = NULL;
	struct attempt *t;

	pthread_mutex_lock(&o->lock);
	t = g_hash_table_lookup(o->attempts, &id);
	if (t != NULL) {
		req = jh_http_req_ref(t->req);
		*path = g_strdup(t->path);
		*parts = t->parts;
	}
	pthread_mutex_unlock(&o->lock);
	return req;
}

static void
send_call(struct agent_once *o, const struct jh_ledger_action *act)
{
	struct pending_op *p = pending_op_create(o, act->op);
	char *path = NULL;
	struct service_call_spec spec = {.ops = &service_ops, .arg = p};
	struct jh_http_req *req =
	    find_request(o, act->attempt, &path, &spec.parts);

	if (req != NULL) {
		spec.method = jh_http_req_method(req);
		spec.path = path;
		spec.content_type = jh_http_req_header(req, "Content-Type");
		spec.body = jh_http_req_body(req);
	}
	if (req != NULL && service_call_start(o->agent, &spec)) {
		p = NULL;
	} else {
		pthread_mutex_lock(&o->lock);
		jh_ledger_backend_failed(o->ledger, jh_now(), act->op, false);
		pthread_mutex_unlock(&o->lock);
	}
	if (req != NULL)
		jh_http_req_unref(req);
	g_free(path);
	g_free(p);
}

static void
reply_attempt(struct agent_once *o, const struct jh_ledger_action *act)
{
	struct jh_http_req *req = NULL;
	struct attempt *t;

	pthread_mutex_lock(&o->lock);
	t = g_hash_table_lookup(o->attempts, &act->attempt);
	if (t != NULL) {
		g_hash_table_remove(o->attempts, &act->attempt);
		req = t->req;
	}
	pthread_mutex_unlock(&o->lock);
	if (req == NULL)
		return;
	once_write_reply(o->agent, req, act);
	jh_http_req_unref(req);
}

static void
query_peer(struct agent_once *o, const struct jh_ledger_action *act)
{
	if (once_query_start(o->query, act->op, act->agent, act->nonce))
		return;
	pthread_mutex_lock(&o->lock);
	jh_ledger_peer_result(
	    o->ledger, jh_now(), act->op, JH_NONCE_NO_RESPONSE, NULL);
	pthread_mutex_unlock(&o->lock);
}

static void
run_action(struct agent_once *o, const struct jh_ledger_action *act)
{
	switch (act->act) {
	case JH_LEDGER_READ:
	case JH_LEDGER_CREATE:
	case JH_LEDGER_UPDATE:
		start_store_call(o, act);
		break;
	case JH_LEDGER_QUERY:
		query_peer(o, act);
		break;
	case JH_LEDGER_SEND:
		send_call(o, act);
		break;
	case JH_LEDGER_REPLY:
		reply_attempt(o, act);
		break;
	case JH_LEDGER_NOT_RECORDED:
		jh_event(JH_EV_OUTCOME_NOT_RECORDED, G_LOG_LEVEL_WARNING,
		    "the outcome of %s cannot be recorded", act->object);
		break;
	}
}

/* Carries out the ledger's actions. The caller does not hold o->lock. */
static void
run_actions(struct agent_once *o)
{
	struct jh_ledger_action *act;

	for (;;) {
		pthread_mutex_lock(&o->lock);
		act = jh_ledger_next(o->ledger);
		pthread_mutex_unlock(&o->lock);
		if (act == NULL)
			return;
		run_action(o, act);
		jh_ledger_action_free(act);
	}
}

static void
on_closed(void *arg)
{
	struct attempt *t = arg;
	struct agent_once *o = t->once;
	bool waiting;

	pthread_mutex_lock(&o->lock);
	waiting = g_hash_table_remove(o->attempts, &t->id);
	if (waiting)
		jh_ledger_attempt_cancel(o->ledger, jh_now(), t->id);
	pthread_mutex_unlock(&o->lock);
	if (waiting)
		jh_http_req_unref(t->req);
	run_actions(o);
}

static void
on_released(void *arg)
{
	struct attempt *t = arg;

	g_free(t->path);
	g_free(t);
}

static const struct jh_http_req_ops attempt_ops = {
    .closed = on_closed, .released = on_released};

static void
hash_request(struct jh_http_req *req, const char *path,
    char out[JH_AUTH_HASH_HEX_LEN + 1])
{
	struct jh_str body = jh_http_req_body(req);
	GString *all = g_string_new(jh_http_req_method(req));

	g_string_append_printf(all, " %s\n", path);
	g_string_append_len(all, body.ptr, (gssize)body.len);
	jh_auth_hash_hex((struct jh_str){all->str, all->len}, out);
	g_string_free(all, TRUE);
}

void
agent_once_attempt(struct agent_once *o, struct jh_job_headers *w,
    struct jh_http_req *req, const char *path, const struct jh_job_parts *parts)
{
	uint64_t budget =
	    jh_job_headers_get_uint(w, JH_JOB_BUDGET_MS, DEFAULT_BUDGET_MS);
	char hash[JH_AUTH_HASH_HEX_LEN + 1];
	struct attempt *t = g_new0(struct attempt, 1);
	struct jh_attempt attempt = {
	    .org = jh_str_from(jh_job_headers_get(w, JH_JOB_ORG)),
	    .key = jh_str_from(jh_job_headers_get(w, JH_JOB_KEY)),
	    .first = jh_job_headers_get(w, JH_JOB_FIRST_ATTEMPT) != NULL,
	    .deadline = jh_now() + budget * JH_USEC_PER_MSEC};

	hash_request(req, path, hash);
	attempt.request_hash = jh_str_from(hash);
	t->once = o;
	t->req = req;
	t->path = g_strdup(path);
	t->parts = *parts;
	pthread_mutex_lock(&o->lock);
	t->id = o->next_attempt++;
	attempt.id = t->id;
	jh_http_req_set_callbacks(req, &attempt_ops, t);
	g_hash_table_insert(o->attempts, &t->id, t);
	jh_ledger_attempt(o->ledger, jh_now(), &attempt);
	pthread_mutex_unlock(&o->lock);
	jh_job_headers_destroy(w);
	run_actions(o);
}

void
agent_once_tick(struct agent_once *o)
{
	pthread_mutex_lock(&o->lock);
	if (jh_now() >= jh_ledger_due(o->ledger))
		jh_ledger_tick(o->ledger, jh_now());
	pthread_mutex_unlock(&o->lock);
	run_actions(o);
}

size_t
agent_once_calls(struct agent_once *o)
{
	size_t n;

	pthread_mutex_lock(&o->lock);
	n = jh_ledger_calls(o->ledger);
	pthread_mutex_unlock(&o->lock);
	return n;
}

void
agent_once_handle_query(struct agent_once *o, const struct jh_nonce_args *args,
    struct jh_nonce_reply *reply)
{
	struct jh_nonce nonce = {args->incarnation, args->seq};
	struct jh_call_response *response = NULL;
	struct jh_str body;

	pthread_mutex_lock(&o->lock);
	reply->state = jh_ledger_nonce_state(o->ledger, nonce, &response);
	pthread_mutex_unlock(&o->lock);
	reply->type = g_strdup("");
	if (response == NULL)
		return;
	g_free(reply->type);
	reply->type = jh_str_dup(jh_call_response_type(response));
	reply->status = jh_call_response_status(response);
	reply->has_answer = 1;
	body = jh_call_response_body(response);
	reply->answer.answer_val = g_memdup2(body.ptr, body.len);
	reply->answer.answer_len = (u_int)body.len;
	jh_call_response_unref(response);
}

struct agent_once *
agent_once_create(struct agent *a)
{
	struct agent_once *o = g_new0(struct agent_once, 1);
	char *self = jh_address_format(&a->settings.rpc_listen);
	struct jh_ledger_settings ledger_settings = {JH_LEDGER_DEFAULTS,
	    .agent = jh_str_from(self), .incarnation = a->incarnation};

	o->agent = a;
	pthread_mutex_init(&o->lock, NULL);
	o->ledger = jh_ledger_create(&ledger_settings);
	o->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	o->next_attempt = 1;
	o->store = jh_store_create(&a->settings.store, MAX_STORE_CALLS);
	o->query = once_query_create(&a->settings.secret, &query_ops, o);
	g_free(self);
	return o;
}

void
agent_once_destroy(struct agent_once *o)
{
	once_query_destroy(o->query);
	jh_store_destroy(o->store);
	jh_ledger_destroy(o->ledger);
	g_hash_table_destroy(o->attempts);
	pthread_mutex_destroy(&o->lock);
	g_free(o);
}
