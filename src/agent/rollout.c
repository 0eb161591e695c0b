#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/rollout.h>

#include "agent/order.h"
#include "agent/rollout.h"
#include "store/store.h"

/* One call for the lease of each slot and one for the reservation. */
#define MAX_STORE_CALLS (JH_ROLLOUT_SLOTS + 1)

/*
 * Oldest confirmation of the catalogue copy with which weights are loaded. An
 * older copy may name weights that have been replaced since.
 */
#define MAX_CATALOG_AGE_USEC (30 * JH_USEC_PER_SEC)

struct agent_rollout {
	struct agent *agent;
	struct jh_store *store; /* NULL until first needed */
	GRand *rand; /* guarded by lock */
	/* Guards all below; taken without agent->lock held. */
	pthread_mutex_t lock;
	struct jh_rollout *state_machine;
	GPtrArray *region_peers; /* other agents of the region */
	size_t n_agents; /* of all regions, as last listed */
	bool list_changed; /* since the substitutes were counted */
	char *model; /* for which the substitutes were counted */
	size_t n_substitutes; /* region peers that serve the engine's model */
};

/* A store call in progress, with copies of its key and value. */
struct store_call {
	struct agent_rollout *rollout;
	struct jh_rollout_action action;
	char *key;
	char *value;
};

static void
free_instance(gpointer p)
{
	jh_instance_free(p);
}

static bool
is_region_peer(const struct agent *a, const struct jh_instance *i)
{
	return i->role == JH_ROLE_AGENT && !i->leaving &&
	       strcmp(i->id, a->settings.instance) != 0 &&
	       g_strcmp0(i->region, a->settings.region) == 0;
}

struct agent_rollout *
agent_rollout_create(struct agent *a)
{
	struct agent_rollout *r = g_new0(struct agent_rollout, 1);
	struct jh_rollout_spec spec = {.instance = a->settings.instance,
	    .incarnation = a->incarnation,
	    .region = a->settings.region};

	r->agent = a;
	r->rand = g_rand_new_with_seed((guint32)a->incarnation);
	spec.rand = r->rand;
	pthread_mutex_init(&r->lock, NULL);
	r->region_peers = g_ptr_array_new_with_free_func(free_instance);
	r->state_machine = jh_rollout_create(&spec);
	return r;
}

void
agent_rollout_destroy(struct agent_rollout *r)
{
	if (r->store != NULL)
		jh_store_destroy(r->store);
	jh_rollout_destroy(r->state_machine);
	g_ptr_array_free(r->region_peers, TRUE);
	g_free(r->model);
	g_rand_free(r->rand);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

static enum jh_lease_result
lease_result(enum jh_store_result result)
{
	switch (result) {
	case JH_STORE_OK:
		return JH_LEASE_OK;
	case JH_STORE_NOT_FOUND:
		return JH_LEASE_NOT_FOUND;
	case JH_STORE_CONFLICT:
		return JH_LEASE_CONFLICT;
	case JH_STORE_UNKNOWN:
		return JH_LEASE_UNKNOWN;
	default:
		return JH_LEASE_FAILED;
	}
}

static void
store_call_free(struct store_call *c)
{
	g_free(c->key);
	g_free(c->value);
	g_free(c);
}

static void
report_result(struct store_call *c, enum jh_lease_result result,
    uint64_t version, struct jh_str value)
{
	struct agent_rollout *r = c->rollout;

	pthread_mutex_lock(&r->lock);
	jh_rollout_on_result(r->state_machine, jh_wall_now(), c->action.call,
	    result, version, value);
	pthread_mutex_unlock(&r->lock);
	store_call_free(c);
}

static void
on_reply(void *arg, const struct jh_store_reply *reply)
{
	report_result(
	    arg, lease_result(reply->result), reply->version, reply->value);
}

static void
start_store_call(struct agent_rollout *r, struct store_call *c)
{
	struct jh_store_callback done = {on_reply, c};
	uint64_t wall = jh_wall_now(), deadline = jh_now();
	bool started;

	if (r->store == NULL)
		r->store =
		    jh_store_create(&r->agent->settings.store, MAX_STORE_CALLS);
	deadline += c->action.deadline - MIN(wall, c->action.deadline);
	if (c->action.kind == JH_ROLLOUT_GET)
		started = jh_store_get(r->store, c->key, deadline, done);
	else
		started = jh_store_put(r->store, c->key, jh_str_from(c->value),
		    c->action.if_version, deadline, done);
	if (!started)
		report_result(c, JH_LEASE_FAILED, 0, JH_STR(""));
}

static uint64_t
get_token(void *arg)
{
	struct agent_rollout *r = arg;
	uint64_t n;

	pthread_mutex_lock(&r->lock);
	n = jh_rollout_token(r->state_machine, jh_wall_now());
	pthread_mutex_unlock(&r->lock);
	return n;
}

static void
on_loaded(void *arg, bool loaded)
{
	struct agent_rollout *r = arg;

	pthread_mutex_lock(&r->lock);
	jh_rollout_on_loaded(r->state_machine, jh_wall_now(), loaded);
	pthread_mutex_unlock(&r->lock);
}

static const struct agent_order_ops order_ops = {
    .token = get_token, .done = on_loaded};

static void
start_load(struct agent_rollout *r, const struct jh_rollout_action *act)
{
	struct agent_order order = {.lease_name = act->lease,
	    .token = get_token(r),
	    .model = act->model,
	    .weights = act->weights,
	    .ops = &order_ops,
	    .arg = r};

	if (order.token == 0 || agent_order_start(r->agent, &order) != NULL)
		on_loaded(r, false);
}

/*
 * Returns the next action, or NULL. Key and value are copied, because the
 * state machine frees them at its next call.
 */
static struct store_call *
next_action(struct agent_rollout *r)
{
	struct store_call *c = g_new0(struct store_call, 1);
	bool due;

	c->rollout = r;
	pthread_mutex_lock(&r->lock);
	due = jh_rollout_next(r->state_machine, jh_wall_now(), &c->action);
	if (due && c->action.kind != JH_ROLLOUT_LOAD) {
		c->key = g_strdup(c->action.key);
		c->value = jh_str_dup(c->action.value);
	}
	pthread_mutex_unlock(&r->lock);
	if (due)
		return c;
	store_call_free(c);
	return NULL;
}

/*
 * Returns the weights to load, or NULL, and sets *model to the name of the
 * engine's model, or to NULL before the engine has reported its state. The
 * caller frees both.
 */
static char *
find_target(struct agent *a, char **model)
{
	struct jh_model *m;
	char *target = NULL, *served;

	pthread_mutex_lock(&a->lock);
	*model = g_strdup(a->engine.model);
	served = g_strdup(a->engine.weights);
	pthread_mutex_unlock(&a->lock);
	m = *model == NULL ? NULL : jh_catalog_find_model(a->catalog, *model);
	if (m != NULL && served != NULL && strcmp(m->weights, served) != 0 &&
	    !g_atomic_int_get(&a->leaving) &&
	    jh_feed_age(a->feed) <= MAX_CATALOG_AGE_USEC)
		target = g_strdup(m->weights);
	if (m != NULL)
		jh_model_unref(m);
	g_free(served);
	return target;
}

/*
 * Tells the state machine which workers of the region can take over this
 * worker's requests. This happens when the list or the model has changed, as
 * the engine's model may become known long after the list was read. The caller
 * holds r->lock.
 */
static void
update_substitutes(struct agent_rollout *r, const char *model)
{
	GPtrArray *ids = g_ptr_array_new();
	const struct jh_instance *i;
	guint n;

	if (!r->list_changed && g_strcmp0(model, r->model) == 0) {
		g_ptr_array_free(ids, TRUE);
		return;
	}
	r->list_changed = false;
	g_free(r->model);
	r->model = g_strdup(model);
	for (n = 0; n < r->region_peers->len && model != NULL; n++) {
		i = r->region_peers->pdata[n];
		if (i->models != NULL &&
		    g_strv_contains((const char *const *)i->models, model))
			g_ptr_array_add(ids, i->id);
	}
	jh_rollout_set_workers(r->state_machine,
	    (const char *const *)ids->pdata, ids->len, r->n_agents);
	r->n_substitutes = ids->len;
	g_ptr_array_free(ids, TRUE);
}

void
agent_rollout_tick(struct agent_rollout *r)
{
	char *model, *weights = find_target(r->agent, &model);
	struct store_call *c;

	pthread_mutex_lock(&r->lock);
	update_substitutes(r, model);
	jh_rollout_set_target(r->state_machine, jh_wall_now(), model, weights);
	pthread_mutex_unlock(&r->lock);
	g_free(model);
	g_free(weights);
	while ((c = next_action(r)) != NULL) {
		if (c->action.kind != JH_ROLLOUT_LOAD) {
			start_store_call(r, c);
			continue;
		}
		start_load(r, &c->action);
		store_call_free(c);
	}
}

void
agent_rollout_set_list(
    struct agent_rollout *r, const struct jh_instance *const *list, size_t n)
{
	GPtrArray *agents = g_ptr_array_new_with_free_func(free_instance);
	size_t i, n_agents = 0;

	for (i = 0; i < n; i++) {
		n_agents += list[i]->role == JH_ROLE_AGENT;
		if (is_region_peer(r->agent, list[i]))
			g_ptr_array_add(agents, jh_instance_copy(list[i]));
	}
	pthread_mutex_lock(&r->lock);
	g_ptr_array_free(r->region_peers, TRUE);
	r->region_peers = agents;
	r->n_agents = n_agents;
	r->list_changed = true;
	pthread_mutex_unlock(&r->lock);
}

bool
agent_rollout_is_idle(struct agent_rollout *r)
{
	bool idle;

	pthread_mutex_lock(&r->lock);
	idle = jh_rollout_is_idle(r->state_machine);
	pthread_mutex_unlock(&r->lock);
	return idle;
}

json_t *
agent_rollout_dump(struct agent_rollout *r)
{
	json_t *o;

	pthread_mutex_lock(&r->lock);
	o = json_pack("{s:s, s:i}", "state",
	    jh_rollout_state_name(r->state_machine), "stand_ins",
	    (int)r->n_substitutes);
	pthread_mutex_unlock(&r->lock);
	return o;
}
