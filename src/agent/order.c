#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/fence.h>
#include <jacinthhill/rollout.h>

#include "agent/job.h"
#include "agent/order.h"
#include "base/event.h"

/*
 * Leases whose last token is kept: the two rollout slots, those of operators,
 * and spare.
 */
#define MAX_LEASES 64

enum order_state {
	ORDER_NONE,
	ORDER_DRAINING, /* waits until the engine has finished its requests */
	ORDER_LOADING, /* the order was sent to the engine */
	ORDER_CONFIRMING, /* waits for an engine state newer than the load */
	ORDER_ENDED /* the control thread has yet to report the outcome */
};

static const char *const state_names[] = {
    "none", "draining", "loading", "asking", "ended"};

/* Guarded by a->lock. */
struct agent_orders {
	struct jh_fence *fence;
	uint64_t created_at;
	uint64_t min_token; /* 0: not known yet; see set_min_token() */
	enum order_state state;
	char *lease_name;
	char *model;
	char *weights;
	uint64_t token;
	const struct agent_order_ops *ops;
	void *arg;
	uint64_t replied_at; /* when the engine replied or the call failed */
	bool loaded;
	char *outcome; /* of the last order, for the dump */
};

struct agent_orders *
agent_orders_create(void)
{
	struct agent_orders *o = g_new0(struct agent_orders, 1);

	o->fence = jh_fence_create(MAX_LEASES);
	o->created_at = jh_now();
	o->outcome = g_strdup("");
	return o;
}

void
agent_orders_destroy(struct agent_orders *o)
{
	jh_fence_destroy(o->fence);
	g_free(o->lease_name);
	g_free(o->model);
	g_free(o->weights);
	g_free(o->outcome);
	g_free(o);
}

bool
agent_order_blocks_jobs(const struct agent *a)
{
	return a->orders->state != ORDER_NONE;
}

static void
set_outcome(struct agent_orders *o, const char *outcome)
{
	g_free(o->outcome);
	o->outcome = g_strdup(outcome);
}

/*
 * Whether the catalogue names other weights, which the agent would then load
 * again by itself.
 */
static bool
contradicts_catalogue(struct agent *a, const struct agent_order *order)
{
	struct jh_model *m = jh_catalog_find_model(a->catalog, order->model);
	bool differs;

	if (m == NULL)
		return false;
	differs = strcmp(m->weights, order->weights) != 0;
	jh_model_unref(m);
	return differs;
}

/*
 * Returns why the order is refused, or NULL and remembers its token. The caller
 * holds a->lock.
 */
static const char *
check_order(struct agent *a, const struct agent_order *order)
{
	if (g_strcmp0(a->settings.kind, "engine") != 0)
		return "this backend server is no engine";
	if (order->weights[0] == '\0')
		return "the order names no weights";
	if (g_strcmp0(order->model, a->engine.model) != 0)
		return "the engine serves another model";
	if (contradicts_catalogue(a, order))
		return "the catalogue names other weights for the model";
	if (g_atomic_int_get(&a->leaving))
		return "the agent is leaving";
	if (a->orders->state != ORDER_NONE)
		return "another order is in progress";
	if (a->orders->min_token == 0)
		return "the store's revision is not known yet";
	if (order->token < a->orders->min_token)
		return "the fencing token is old";
	/* This is the last check because it remembers the token. */
	if (!jh_fence_admit(a->orders->fence, order->lease_name, order->token))
		return "the fencing token is old";
	return NULL;
}

/* Stores the order as the present one. The caller holds a->lock. */
static void
begin_order(struct agent_orders *o, const struct agent_order *order)
{
	g_free(o->lease_name);
	g_free(o->model);
	g_free(o->weights);
	o->lease_name = g_strdup(order->lease_name);
	o->model = g_strdup(order->model);
	o->weights = g_strdup(order->weights);
	o->token = order->token;
	o->ops = order->ops;
	o->arg = order->arg;
	o->loaded = false;
	set_outcome(o, "");
	o->state = ORDER_DRAINING;
}

const char *
agent_order_start(struct agent *a, const struct agent_order *order)
{
	const char *refusal;

	pthread_mutex_lock(&a->lock);
	refusal = check_order(a, order);
	if (refusal == NULL)
		begin_order(a->orders, order);
	pthread_mutex_unlock(&a->lock);
	return refusal;
}

/* Ends the order before it reached the engine. The caller holds a->lock. */
static void
fail_order(struct agent_orders *o, const char *why)
{
	set_outcome(o, why);
	o->state = ORDER_ENDED;
}

/* Discards the body: only the status is used. */
static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	return true;
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct agent *a = arg;
	struct agent_orders *o = a->orders;

	pthread_mutex_lock(&a->lock);
	if (result == JH_HTTP_OK) {
		o->loaded = jh_http_call_status(call) == 200;
		set_outcome(o, o->loaded ? "loaded" : "refused by the engine");
	} else {
		set_outcome(o, "no answer from the engine");
	}
	/* Only a state reported later shows which weights the engine serves. */
	o->replied_at = jh_now();
	o->state = ORDER_CONFIRMING;
	pthread_mutex_unlock(&a->lock);
}

static const struct jh_http_call_ops order_ops = {
    .data = on_data, .done = on_done};

static void
send_order(struct agent *a, uint64_t token, const char *weights)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	json_t *root = json_pack(
	    "{s:I, s:s}", "fencing", (json_int_t)token, "weights", weights);
	char *text = json_dumps(root, JSON_COMPACT);
	struct jh_http_call_spec spec = {.peer = a->settings.backend,
	    .method = "POST",
	    .path = "/v1/orders",
	    .headers = headers,
	    .body = jh_str_from(text),
	    .deadline = jh_now() + JH_ROLLOUT_LOAD_USEC,
	    .own_connection = true,
	    .ops = &order_ops,
	    .arg = a};
	struct jh_http_call *call = jh_http_call_start(a->client, &spec);

	if (call == NULL) {
		pthread_mutex_lock(&a->lock);
		fail_order(a->orders, "no call to the engine could be made");
		pthread_mutex_unlock(&a->lock);
	}
	jh_http_call_unref(call);
	free(text);
	json_decref(root);
}

/* Whether the job was started on the engine and has not ended. */
static bool
is_running(struct agent_job *j)
{
	bool running;

	pthread_mutex_lock(&j->lock);
	running = j->started_at != 0 && j->state != JOB_ENDED;
	pthread_mutex_unlock(&j->lock);
	return running;
}

/* Whether no job runs on the engine. The caller holds a->lock. */
static bool
is_drained(struct agent *a)
{
	GHashTableIter it;
	gpointer j;

	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &j)) {
		if (is_running(j))
			return false;
	}
	return true;
}

static void
try_send(struct agent *a)
{
	struct agent_orders *o = a->orders;
	/* Only this thread changes these members in this state. */
	uint64_t token = o->ops == NULL ? o->token : o->ops->token(o->arg);
	char *weights = NULL;

	pthread_mutex_lock(&a->lock);
	if (g_atomic_int_get(&a->leaving)) {
		fail_order(o, "the agent is leaving");
	} else if (token == 0) {
		fail_order(o, "the lease ran out");
	} else if (is_drained(a)) {
		o->token = token;
		if (jh_fence_admit(o->fence, o->lease_name, token)) {
			weights = g_strdup(o->weights);
			o->state = ORDER_LOADING;
		} else {
			fail_order(o, "superseded by a newer order");
		}
	}
	pthread_mutex_unlock(&a->lock);
	if (weights != NULL)
		send_order(a, token, weights);
	g_free(weights);
}

static void
end_order(struct agent *a)
{
	const struct agent_order_ops *ops;
	struct agent_orders *o = a->orders;
	bool loaded;
	void *arg;

	pthread_mutex_lock(&a->lock);
	ops = o->ops;
	arg = o->arg;
	loaded = o->loaded;
	jh_event(JH_EV_ORDER_ENDED, G_LOG_LEVEL_INFO,
	    "order of %s to load %s of %s: %s", o->lease_name, o->weights,
	    o->model, o->outcome);
	o->state = ORDER_NONE;
	pthread_mutex_unlock(&a->lock);
	if (ops != NULL)
		ops->done(arg, loaded);
}

/*
 * Sets the lowest token to accept, because a restarted agent has lost the
 * tokens that it accepted before. Tokens are versions in the store, and the
 * revision of a catalogue copy confirmed since the start is above all of them.
 * The caller holds a->lock.
 */
static void
set_min_token(struct agent *a)
{
	uint64_t age = jh_feed_age(a->feed);

	if (a->orders->min_token == 0 && age != JH_SYNC_AGE_UNKNOWN &&
	    jh_now() - age > a->orders->created_at)
		a->orders->min_token = jh_catalog_revision(a->catalog);
}

void
agent_order_tick(struct agent *a)
{
	enum order_state state;

	pthread_mutex_lock(&a->lock);
	set_min_token(a);
	state = a->orders->state;
	pthread_mutex_unlock(&a->lock);
	if (state == ORDER_DRAINING)
		try_send(a);
	else if (state == ORDER_ENDED)
		end_order(a);
}

void
agent_order_on_engine_state(struct agent *a, uint64_t queried_at)
{
	struct agent_orders *o = a->orders;

	if (o->state == ORDER_CONFIRMING && queried_at > o->replied_at)
		o->state = ORDER_ENDED;
}

json_t *
agent_order_dump(const struct agent *a)
{
	const struct agent_orders *o = a->orders;

	return json_pack("{s:s, s:s*, s:s*, s:I, s:s}", "state",
	    state_names[o->state], "duty", o->lease_name, "weights", o->weights,
	    "fencing", (json_int_t)o->token, "outcome", o->outcome);
}

void
agent_order_handle(void *arg, const void *args, void *reply)
{
	const struct jh_order_args *in = args;
	struct jh_status_reply *r = reply;
	struct agent_order order = {.lease_name = in->duty,
	    .token = in->fencing,
	    .model = in->model,
	    .weights = in->weights};
	const char *refusal = "only orders to load weights are served";

	if (in->kind == JH_ORDER_LOAD_WEIGHTS)
		refusal = agent_order_start(arg, &order);
	r->code = refusal != NULL;
	r->message = g_strdup(refusal == NULL ? "accepted" : refusal);
}
