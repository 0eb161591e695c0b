#include <pthread.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#include "base/event.h"
#include "entry/refusal_log.h"
#include "store/store.h"

#define MAX_STORE_CALLS 8
#define WRITE_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)

struct refusal_log {
	struct jh_store *store;
	pthread_mutex_t lock; /* guards the recorder */
	struct jh_refusals *recorder;
	uint64_t dropped; /* as last logged; control thread only */
};

struct write {
	struct refusal_log *log;
	uint64_t op;
};

static void
finish_write(struct refusal_log *l, uint64_t op, enum jh_store_result result,
    uint64_t version)
{
	pthread_mutex_lock(&l->lock);
	jh_refusals_result(l->recorder, jh_wall_now(), op, result, version);
	pthread_mutex_unlock(&l->lock);
}

static void
on_written(void *arg, const struct jh_store_reply *reply)
{
	struct write *w = arg;
	enum jh_store_result result = reply->result;

	/* A conflict with no object there means that it must be created. */
	if (result == JH_STORE_CONFLICT && reply->version == 0)
		result = JH_STORE_NOT_FOUND;
	finish_write(w->log, w->op, result, reply->version);
	g_free(w);
}

static void
start_write(struct refusal_log *l, const struct jh_refusals_write *due)
{
	struct write *w = g_new0(struct write, 1);

	w->log = l;
	w->op = due->op;
	if (jh_store_put(l->store, due->object,
		(struct jh_str){due->value, due->value_len},
		due->create ? JH_STORE_ABSENT : due->version,
		jh_now() + WRITE_TIMEOUT_USEC,
		(struct jh_store_callback){on_written, w}))
		return;
	finish_write(l, due->op, JH_STORE_UNAVAILABLE, 0);
	g_free(w);
}

static void
report_dropped(struct refusal_log *l)
{
	uint64_t dropped = refusal_log_dropped(l);

	if (dropped == l->dropped)
		return;
	l->dropped = dropped;
	jh_event(JH_EV_REFUSALS_DROPPED, G_LOG_LEVEL_WARNING,
	    "refusal counts of %llu hours were dropped",
	    (unsigned long long)dropped);
}

void
refusal_log_tick(struct refusal_log *l)
{
	struct jh_refusals_write *due;

	report_dropped(l);

	for (;;) {
		pthread_mutex_lock(&l->lock);
		due = jh_refusals_next(l->recorder, jh_wall_now());
		pthread_mutex_unlock(&l->lock);
		if (due == NULL)
			return;
		start_write(l, due);
		jh_refusals_write_free(due);
	}
}

void
refusal_log_count(
    struct refusal_log *l, const char *owner, const char *class_name)
{
	pthread_mutex_lock(&l->lock);
	jh_refusals_count(l->recorder, jh_wall_now(), jh_str_from(owner),
	    jh_str_from(class_name));
	pthread_mutex_unlock(&l->lock);
}

void
refusal_log_peer_seen(
    struct refusal_log *l, const char *instance, uint64_t incarnation)
{
	pthread_mutex_lock(&l->lock);
	jh_refusals_peer_seen(
	    l->recorder, jh_wall_now(), jh_str_from(instance), incarnation);
	pthread_mutex_unlock(&l->lock);
}

void
refusal_log_close(struct refusal_log *l)
{
	pthread_mutex_lock(&l->lock);
	jh_refusals_close(l->recorder, jh_wall_now());
	pthread_mutex_unlock(&l->lock);
}

bool
refusal_log_idle(struct refusal_log *l)
{
	bool idle;

	pthread_mutex_lock(&l->lock);
	idle = jh_refusals_idle(l->recorder);
	pthread_mutex_unlock(&l->lock);
	return idle;
}

uint64_t
refusal_log_dropped(struct refusal_log *l)
{
	uint64_t n;

	pthread_mutex_lock(&l->lock);
	n = jh_refusals_dropped(l->recorder);
	pthread_mutex_unlock(&l->lock);
	return n;
}

struct refusal_log *
refusal_log_create(const struct entry *e)
{
	struct jh_refusals_settings s = {JH_REFUSALS_DEFAULTS,
	    .instance = jh_str_from(e->settings.instance),
	    .incarnation = e->incarnation};
	struct refusal_log *l = g_new0(struct refusal_log, 1);

	pthread_mutex_init(&l->lock, NULL);
	l->recorder = jh_refusals_create(&s, jh_wall_now());
	l->store = jh_store_create(&e->settings.store, MAX_STORE_CALLS);
	return l;
}

void
refusal_log_destroy(struct refusal_log *l)
{
	jh_store_destroy(l->store);
	jh_refusals_destroy(l->recorder);
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}
