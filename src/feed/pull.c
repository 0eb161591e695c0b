#include <string.h>

#include <jacinthhill/clock.h>

#include "base/ring.h"
#include "base/thread.h"
#include "feed/pull.h"
#include "rpc/server.h"

#define MAX_QUEUED_PULLS 16

struct pull {
	struct sockaddr_in peer;
	uint64_t deadline;
	bool unscheduled;
};

struct feed_pull {
	struct jh_feed_spec spec; /* its strings are not used */
	char *instance;
	const struct feed_pull_ops *ops;
	void *arg;
	struct jh_ring *queue;
	pthread_mutex_t lock; /* guards stopping and the condition */
	pthread_cond_t cond;
	bool stopping;
	pthread_t thread;
};

/*
 * Applies the peer's reply to a pull of the changes after revision since.
 * Returns whether the copy is now at least as new as the reply.
 */
static bool
apply_reply(struct feed_pull *p, uint64_t since, const struct jh_sync_reply *r)
{
	struct jh_catalog_delta d = {.revision = r->revision,
	    .full = r->full,
	    .deletions_after = r->floor};
	u_int i;

	d.n = r->entries.entries_len;
	d.items = g_new0(struct jh_catalog_item, d.n);
	for (i = 0; i < d.n; i++) {
		d.items[i].key = r->entries.entries_val[i].key;
		d.items[i].version = r->entries.entries_val[i].entry_version;
		/* An empty text marks a deleted entry. */
		if (r->entries.entries_val[i].json[0] != '\0')
			d.items[i].json = r->entries.entries_val[i].json;
	}
	jh_catalog_apply(p->spec.catalog, since, &d);
	g_free(d.items);
	return jh_catalog_revision(p->spec.catalog) >= r->revision;
}

static struct feed_pull_result
run_pull(struct feed_pull *p, const struct pull *pull)
{
	struct feed_pull_result result = {false, JH_SYNC_AGE_UNKNOWN};
	struct jh_sync_reply reply = {0};
	struct jh_sync_args args = {.instance = p->instance,
	    .incarnation = p->spec.incarnation,
	    .revision = jh_catalog_revision(p->spec.catalog)};

	if (p->spec.ops != NULL && p->spec.ops->fill_request != NULL)
		p->spec.ops->fill_request(p->spec.arg, &args);
	if (jh_rpc_call(&pull->peer, &p->spec.key, JH_SYNC, &args, &reply,
		pull->deadline, NULL)) {
		result.ok = true;
		if (apply_reply(p, args.revision, &reply) &&
		    reply.confirmed_age_ms != UINT32_MAX)
			result.age = reply.confirmed_age_ms * JH_USEC_PER_MSEC;
		if (p->spec.ops != NULL && p->spec.ops->on_reply != NULL)
			p->spec.ops->on_reply(p->spec.arg, &reply);
		jh_rpc_reply_clear(JH_SYNC, &reply);
	}
	args.instance = NULL; /* not from malloc() */
	xdr_free((xdrproc_t)xdr_jh_sync_args, &args);
	return result;
}

/* Waits for the next pull; returns NULL if the thread is to stop. */
static struct pull *
next_pull(struct feed_pull *p)
{
	struct pull *pull = NULL;

	pthread_mutex_lock(&p->lock);
	while (!p->stopping && (pull = jh_ring_pop(p->queue)) == NULL)
		pthread_cond_wait(&p->cond, &p->lock);
	pthread_mutex_unlock(&p->lock);
	return pull;
}

static void *
pull_main(void *arg)
{
	struct feed_pull *p = arg;
	struct feed_pull_result result;
	struct pull *pull;

	while ((pull = next_pull(p)) != NULL) {
		result = run_pull(p, pull);
		p->ops->done(p->arg, pull->unscheduled, result);
		g_free(pull);
	}
	return NULL;
}

struct feed_pull *
feed_pull_create(
    const struct jh_feed_spec *spec, const struct feed_pull_ops *ops, void *arg)
{
	struct feed_pull *p = g_new0(struct feed_pull, 1);

	p->spec = *spec;
	p->instance = g_strdup(spec->instance);
	p->ops = ops;
	p->arg = arg;
	p->queue = jh_ring_create(MAX_QUEUED_PULLS);
	pthread_mutex_init(&p->lock, NULL);
	jh_cond_init(&p->cond);
	p->thread = jh_thread_create("pull", pull_main, p);
	return p;
}

void
feed_pull_destroy(struct feed_pull *p)
{
	struct pull *pull;

	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_cond_signal(&p->cond);
	pthread_mutex_unlock(&p->lock);
	pthread_join(p->thread, NULL);
	while ((pull = jh_ring_pop(p->queue)) != NULL)
		g_free(pull);
	jh_ring_destroy(p->queue);
	pthread_mutex_destroy(&p->lock);
	pthread_cond_destroy(&p->cond);
	g_free(p->instance);
	g_free(p);
}

bool
feed_pull_start(struct feed_pull *p, const struct sockaddr_in *peer,
    uint64_t deadline, bool unscheduled)
{
	struct pull *pull = g_new0(struct pull, 1);
	bool queued;

	pull->peer = *peer;
	pull->deadline = deadline;
	pull->unscheduled = unscheduled;
	pthread_mutex_lock(&p->lock);
	queued = jh_ring_push(p->queue, pull);
	pthread_cond_signal(&p->cond);
	pthread_mutex_unlock(&p->lock);
	if (!queued)
		g_free(pull);
	return queued;
}
