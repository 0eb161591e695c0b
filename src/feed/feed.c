#include <pthread.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "feed/feed.h"
#include "feed/pull.h"
#include "feed/store_reader.h"

/* Longest catalogue part of one reply to a pull, in bytes. */
#define REPLY_LIMIT_BYTES (8 << 20)

/* Timeout of an unscheduled pull. */
#define UNSCHEDULED_TIMEOUT_USEC (1 * JH_USEC_PER_SEC)

struct jh_feed {
	struct jh_catalog *catalog;
	struct feed_pull *pull;
	struct store_reader *reader;
	char *instance;
	uint64_t incarnation;
	GRand *rand;

	pthread_mutex_t lock; /* guards what follows, except pulling_now */
	struct jh_sync *sync;
	GArray *peers; /* of struct jh_feed_peer, which own their strings */
	int pulling_now; /* atomic: an unscheduled pull is in progress */
};

static void
clear_peer(gpointer p)
{
	struct jh_feed_peer *peer = p;

	g_free(peer->instance);
	g_free(peer->zone);
}

static void
on_store_done(void *arg, enum jh_sync_result result)
{
	struct jh_feed *f = arg;

	pthread_mutex_lock(&f->lock);
	jh_sync_on_store(f->sync, jh_now(), result);
	pthread_mutex_unlock(&f->lock);
}

static void
on_pull_done(void *arg, bool unscheduled, struct feed_pull_result result)
{
	struct jh_feed *f = arg;

	if (unscheduled) {
		g_atomic_int_set(&f->pulling_now, 0);
		return;
	}
	pthread_mutex_lock(&f->lock);
	jh_sync_on_pull(f->sync, jh_now(), result.ok, result.age);
	pthread_mutex_unlock(&f->lock);
}

static const struct store_reader_ops reader_ops = {.done = on_store_done};
static const struct feed_pull_ops pull_ops = {.done = on_pull_done};

/* Called with f->lock held. */
static bool
find_peer(struct jh_feed *f, const char *instance, struct sockaddr_in *out)
{
	struct jh_feed_peer *p;
	guint i;

	for (i = 0; i < f->peers->len; i++) {
		p = &g_array_index(f->peers, struct jh_feed_peer, i);
		if (strcmp(p->instance, instance) == 0) {
			*out = p->rpc_address;
			return true;
		}
	}
	return false;
}

/* Starts one action; called without f->lock. */
static void
carry_out(struct jh_feed *f, const struct jh_sync_action *a,
    const struct sockaddr_in *peer)
{
	struct feed_pull_result failed = {false, JH_SYNC_AGE_UNKNOWN};

	switch (a->kind) {
	case JH_SYNC_LIST:
		store_reader_list(f->reader, a->deadline);
		break;
	case JH_SYNC_WATCH:
		store_reader_watch(
		    f->reader, a->from_revision, a->wait_ms, a->deadline);
		break;
	case JH_SYNC_PULL:
		if (peer->sin_port == 0 ||
		    !feed_pull_start(f->pull, peer, a->deadline, false))
			on_pull_done(f, false, failed);
		break;
	}
}

void
jh_feed_tick(struct jh_feed *f)
{
	struct jh_sync_action a;
	struct sockaddr_in peer;
	bool due;

	for (;;) {
		memset(&peer, 0, sizeof(peer));
		pthread_mutex_lock(&f->lock);
		due = jh_sync_next(
		    f->sync, jh_now(), jh_catalog_revision(f->catalog), &a);
		if (due && a.kind == JH_SYNC_PULL)
			find_peer(f, a.peer, &peer);
		pthread_mutex_unlock(&f->lock);
		if (!due)
			return;
		carry_out(f, &a, &peer);
	}
}

void
jh_feed_set_peers(struct jh_feed *f, const struct jh_feed_peer *peers, size_t n)
{
	struct jh_sync_peer *list = g_new0(struct jh_sync_peer, n);
	struct jh_feed_peer copy;
	size_t i;

	pthread_mutex_lock(&f->lock);
	g_array_set_size(f->peers, 0);
	for (i = 0; i < n; i++) {
		copy = (struct jh_feed_peer){g_strdup(peers[i].instance),
		    g_strdup(peers[i].zone), peers[i].rpc_address};
		g_array_append_val(f->peers, copy);
		list[i] =
		    (struct jh_sync_peer){peers[i].instance, peers[i].zone};
	}
	jh_sync_set_peers(f->sync, list, n);
	pthread_mutex_unlock(&f->lock);
	g_free(list);
}

void
jh_feed_pull_now(struct jh_feed *f, const struct sockaddr_in *rpc_address)
{
	if (!g_atomic_int_compare_and_exchange(&f->pulling_now, 0, 1))
		return;
	if (!feed_pull_start(f->pull, rpc_address,
		jh_now() + UNSCHEDULED_TIMEOUT_USEC, true))
		g_atomic_int_set(&f->pulling_now, 0);
}

void
jh_feed_pull_from_random_peer(struct jh_feed *f)
{
	struct sockaddr_in peer = {0};
	struct jh_feed_peer *p;
	guint i;

	pthread_mutex_lock(&f->lock);
	if (f->peers->len > 0) {
		i = (guint)g_rand_int_range(f->rand, 0, (gint32)f->peers->len);
		p = &g_array_index(f->peers, struct jh_feed_peer, i);
		if (strcmp(p->instance, f->instance) == 0)
			p = &g_array_index(f->peers, struct jh_feed_peer,
			    (i + 1) % f->peers->len);
		peer = p->rpc_address;
	}
	pthread_mutex_unlock(&f->lock);
	if (peer.sin_port != 0)
		jh_feed_pull_now(f, &peer);
}

uint64_t
jh_feed_age(struct jh_feed *f)
{
	uint64_t at;

	pthread_mutex_lock(&f->lock);
	at = jh_sync_confirmed_at(f->sync);
	pthread_mutex_unlock(&f->lock);
	return at == 0 ? JH_SYNC_AGE_UNKNOWN : jh_now() - at;
}

bool
jh_feed_is_current(struct jh_feed *f)
{
	bool current;

	pthread_mutex_lock(&f->lock);
	current = jh_sync_is_current(f->sync, jh_now());
	pthread_mutex_unlock(&f->lock);
	return current;
}

bool
jh_feed_is_watcher(struct jh_feed *f)
{
	bool watcher;

	pthread_mutex_lock(&f->lock);
	watcher = jh_sync_is_watcher(f->sync, jh_now());
	pthread_mutex_unlock(&f->lock);
	return watcher;
}

static void
fill_entries(struct jh_sync_reply *reply, const struct jh_catalog_delta *d)
{
	struct jh_wire_entry *e;
	size_t i;

	reply->full = d->full;
	reply->floor = d->deletions_after;
	reply->entries.entries_len = (u_int)d->n;
	reply->entries.entries_val = g_new0(struct jh_wire_entry, d->n);
	for (i = 0; i < d->n; i++) {
		e = &reply->entries.entries_val[i];
		e->key = g_strdup(d->items[i].key);
		e->entry_version = d->items[i].version;
		e->json =
		    g_strdup(d->items[i].json == NULL ? "" : d->items[i].json);
	}
}

void
jh_feed_serve(struct jh_feed *f, const struct jh_sync_args *args,
    struct jh_sync_reply *reply)
{
	/* Read before the delta, which is then at least as fresh. */
	uint64_t age = jh_feed_age(f);
	struct jh_catalog_delta d;

	reply->instance = g_strdup(f->instance);
	reply->incarnation = f->incarnation;
	reply->confirmed_age_ms = UINT32_MAX;
	if (!jh_catalog_delta(
		f->catalog, args->revision, REPLY_LIMIT_BYTES, &d))
		return;
	reply->revision = d.revision;
	if (age / JH_USEC_PER_MSEC < UINT32_MAX &&
	    d.revision >= jh_catalog_revision(f->catalog))
		reply->confirmed_age_ms = (u_int)(age / JH_USEC_PER_MSEC) + 1;
	fill_entries(reply, &d);
	jh_catalog_delta_clear(&d);
}

struct jh_feed *
jh_feed_create(const struct jh_feed_spec *spec)
{
	struct jh_feed *f = g_new0(struct jh_feed, 1);
	struct jh_sync_spec sync = {
	    .instance = spec->instance, .zone = spec->zone, .role = spec->role};

	f->catalog = spec->catalog;
	f->instance = g_strdup(spec->instance);
	f->incarnation = spec->incarnation;
	f->rand = g_rand_new_with_seed((guint32)spec->incarnation);
	f->peers = g_array_new(FALSE, FALSE, sizeof(struct jh_feed_peer));
	g_array_set_clear_func(f->peers, clear_peer);
	pthread_mutex_init(&f->lock, NULL);
	sync.rand = f->rand;
	f->sync = jh_sync_create(&sync, jh_now());
	f->pull = feed_pull_create(spec, &pull_ops, f);
	f->reader =
	    store_reader_create(&spec->store, spec->catalog, &reader_ops, f);
	return f;
}

void
jh_feed_destroy(struct jh_feed *f)
{
	feed_pull_destroy(f->pull);
	store_reader_destroy(f->reader);
	jh_sync_destroy(f->sync);
	g_array_free(f->peers, TRUE);
	g_rand_free(f->rand);
	pthread_mutex_destroy(&f->lock);
	g_free(f->instance);
	g_free(f);
}
