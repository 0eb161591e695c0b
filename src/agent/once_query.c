#include <jacinthhill/clock.h>

#include "agent/once_query.h"
#include "base/ring.h"
#include "base/thread.h"
#include "config/settings.h"
#include "rpc/server.h"

#define MAX_QUERIES 1024
#define QUERY_TIMEOUT_USEC (1 * JH_USEC_PER_SEC)

struct query {
	uint64_t op;
	struct sockaddr_in peer;
	struct jh_nonce nonce;
};

struct once_query {
	struct jh_auth_key key;
	const struct once_query_ops *ops;
	void *arg;
	struct jh_ring *queries;
	pthread_mutex_t lock; /* guards the condition */
	pthread_cond_t cond;
	bool stopping;
	pthread_t thread;
};

static void
run_query(struct once_query *k, const struct query *q)
{
	struct jh_nonce_args args = {
	    .incarnation = q->nonce.incarnation, .seq = q->nonce.seq};
	enum jh_nonce_state state = JH_NONCE_NO_RESPONSE;
	struct jh_call_response *response = NULL;
	struct jh_nonce_reply reply = {0};
	GError *err = NULL;

	if (jh_rpc_call(&q->peer, &k->key, JH_NONCE, &args, &reply,
		jh_now() + QUERY_TIMEOUT_USEC, &err)) {
		state = (enum jh_nonce_state)reply.state;
		if (reply.has_answer)
			response = jh_call_response_create(reply.status,
			    jh_str_from(reply.type),
			    (struct jh_str){reply.answer.answer_val,
				reply.answer.answer_len});
		jh_rpc_reply_clear(JH_NONCE, &reply);
	} else if (g_error_matches(
		       err, JH_RPC_ERROR, JH_RPC_ERROR_NO_LISTENER)) {
		state = JH_NONCE_NO_SUCH_AGENT;
	}
	g_clear_error(&err);
	k->ops->on_result(k->arg, q->op, state, response);
	if (response != NULL)
		jh_call_response_unref(response);
}

static void *
query_main(void *arg)
{
	struct once_query *k = arg;
	struct query *q;

	for (;;) {
		while ((q = jh_ring_pop(k->queries)) != NULL) {
			run_query(k, q);
			g_free(q);
		}
		pthread_mutex_lock(&k->lock);
		if (k->stopping) {
			pthread_mutex_unlock(&k->lock);
			return NULL;
		}
		/* A query may have been queued since the ring was empty. */
		q = jh_ring_pop(k->queries);
		if (q == NULL)
			pthread_cond_wait(&k->cond, &k->lock);
		pthread_mutex_unlock(&k->lock);
		if (q != NULL) {
			run_query(k, q);
			g_free(q);
		}
	}
}

struct once_query *
once_query_create(
    const struct jh_auth_key *key, const struct once_query_ops *ops, void *arg)
{
	struct once_query *k = g_new0(struct once_query, 1);

	k->key = *key;
	k->ops = ops;
	k->arg = arg;
	k->queries = jh_ring_create(MAX_QUERIES);
	pthread_mutex_init(&k->lock, NULL);
	jh_cond_init(&k->cond);
	k->thread = jh_thread_create("ask", query_main, k);
	return k;
}

void
once_query_destroy(struct once_query *k)
{
	struct query *q;

	pthread_mutex_lock(&k->lock);
	k->stopping = true;
	pthread_cond_signal(&k->cond);
	pthread_mutex_unlock(&k->lock);
	pthread_join(k->thread, NULL);
	while ((q = jh_ring_pop(k->queries)) != NULL)
		g_free(q);
	jh_ring_destroy(k->queries);
	pthread_mutex_destroy(&k->lock);
	pthread_cond_destroy(&k->cond);
	g_free(k);
}

bool
once_query_start(
    struct once_query *k, uint64_t op, const char *agent, struct jh_nonce nonce)
{
	struct query *q = g_new0(struct query, 1);
	bool queued;

	q->op = op;
	q->nonce = nonce;
	if (!jh_address_parse(agent, &q->peer)) {
		g_free(q);
		return false;
	}
	pthread_mutex_lock(&k->lock);
	queued = jh_ring_push(k->queries, q);
	pthread_cond_signal(&k->cond);
	pthread_mutex_unlock(&k->lock);
	if (!queued)
		g_free(q);
	return queued;
}
