#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "sync_simulation.h"

static const char *
key_name(unsigned int k)
{
	static char name[16];

	snprintf(name, sizeof(name), "models/m%u", k);
	return name;
}

static char *
key_json(const struct sync_simulation *f, unsigned int k)
{
	if (f->deleted[k])
		return NULL;
	return g_strdup_printf("{\"name\":\"m%u\",\"weights\":\"%u\"}", k,
	    (unsigned int)f->version[k]);
}

void
sync_simulation_edit(struct sync_simulation *f)
{
	unsigned int k = (unsigned int)g_rand_int_range(f->rand, 0, KEYS);

	if (!f->store_up)
		return;
	f->version[k] = ++f->revision;
	f->deleted[k] = g_rand_int_range(f->rand, 0, 4) == 0;
	f->changed[k] = f->now;
}

static void
start_daemon(struct sync_simulation *f, struct daemon *d)
{
	struct jh_sync_spec spec = {d->name, d->zone, d->role, f->rand};

	d->alive = true;
	d->since = f->now;
	d->copy = jh_catalog_create();
	d->sync = jh_sync_create(&spec, f->now);
	memset(d->seen, 0, sizeof(d->seen));
}

void
sync_simulation_crash(struct sync_simulation *f, struct daemon *d)
{
	jh_catalog_delta_clear(&d->pull.delta);
	memset(&d->pull, 0, sizeof(d->pull));
	memset(&d->store, 0, sizeof(d->store));
	jh_sync_destroy(d->sync);
	jh_catalog_destroy(d->copy);
	d->sync = NULL;
	d->copy = NULL;
	d->alive = false;
	d->since = f->now;
}

/* Whether the list shows the daemon; starts and stops show after LIST_LAG. */
static bool
is_listed(const struct sync_simulation *f, const struct daemon *d)
{
	bool lagging = f->now > LIST_LAG && f->now < d->since + LIST_LAG;

	return d->role == JH_SYNC_ENTRY &&
	       (f->list_frozen || d->alive != lagging);
}

static void
set_peers(struct sync_simulation *f, struct daemon *d)
{
	struct jh_sync_peer peers[N_DAEMONS];
	size_t n = 0, i;

	for (i = 0; i < N_DAEMONS; i++) {
		if (!is_listed(f, &f->daemons[i]))
			continue;
		peers[n].instance = f->daemons[i].name;
		peers[n++].zone = f->daemons[i].zone;
	}
	jh_sync_set_peers(d->sync, peers, n);
}

static void
list_objects(struct sync_simulation *f, struct daemon *d)
{
	struct jh_catalog_item items[KEYS];
	char *keys[KEYS] = {NULL}, *json[KEYS] = {NULL};
	size_t n = 0, i;
	unsigned int k;

	for (k = 0; k < KEYS; k++) {
		if (f->version[k] == 0 || f->deleted[k])
			continue;
		keys[n] = g_strdup(key_name(k));
		json[n] = key_json(f, k);
		items[n] =
		    (struct jh_catalog_item){keys[n], f->version[k], json[n]};
		n++;
	}
	jh_catalog_replace(d->copy, items, n, f->revision);
	for (i = 0; i < n; i++) {
		g_free(keys[i]);
		g_free(json[i]);
	}
}

static bool
merge_changes(struct sync_simulation *f, struct daemon *d, uint64_t from)
{
	bool any = false;
	unsigned int k;
	char *json;

	for (k = 0; k < KEYS; k++) {
		if (f->version[k] <= from)
			continue;
		any = true;
		json = key_json(f, k);
		jh_catalog_merge(d->copy, key_name(k), f->version[k], json);
		g_free(json);
	}
	jh_catalog_advance(d->copy, f->revision);
	return any;
}

static void
end_store(
    struct sync_simulation *f, struct daemon *d, enum jh_sync_result result)
{
	d->store.busy = false;
	jh_sync_on_store(d->sync, f->now, result);
}

static void
step_store(struct sync_simulation *f, struct daemon *d)
{
	struct op *o = &d->store;
	uint64_t from = o->action.from_revision;
	uint64_t wait_end =
	    o->asked + DELAY + o->action.wait_ms * JH_USEC_PER_MSEC;

	if (!o->busy || f->now < o->at)
		return;
	if (!f->store_up) {
		/* In an outage, half of the calls hang instead of failing. */
		if (o->lost && f->now < o->action.deadline)
			return;
		end_store(f, d, JH_SYNC_FAILED);
	} else if (o->action.kind == JH_SYNC_LIST) {
		list_objects(f, d);
		end_store(f, d, JH_SYNC_OK);
	} else if (f->revision > from + f->history) {
		end_store(f, d, JH_SYNC_EXPIRED);
	} else if (f->max_changes != 0 && f->revision > from + f->max_changes) {
		end_store(f, d, JH_SYNC_UNUSABLE);
	} else if (f->revision > from) {
		end_store(f, d,
		    merge_changes(f, d, from) ? JH_SYNC_OK : JH_SYNC_UNCHANGED);
	} else if (f->now >= wait_end) {
		end_store(f, d, JH_SYNC_UNCHANGED);
	}
}

static struct daemon *
find(struct sync_simulation *f, const char *name)
{
	unsigned int i;

	for (i = 0; i < N_DAEMONS; i++) {
		if (strcmp(f->daemons[i].name, name) == 0)
			return &f->daemons[i];
	}
	return NULL;
}

/* The request has reached the peer, whose current copy gives the reply. */
static void
reply_to_pull(struct sync_simulation *f, struct daemon *d)
{
	struct daemon *peer = find(f, d->pull.action.peer);
	uint64_t confirmed;

	d->pull.replied = true;
	d->pull.at = f->now + DELAY;
	if (d->pull.lost)
		d->pull.at = d->pull.action.deadline;
	if (!peer->alive || !jh_catalog_delta(peer->copy, d->pull.asked,
				SIZE_MAX, &d->pull.delta)) {
		d->pull.lost = true;
		return;
	}
	confirmed = jh_sync_confirmed_at(peer->sync);
	d->pull.age = confirmed == 0 ? JH_SYNC_AGE_UNKNOWN : f->now - confirmed;
}

static void
step_pull(struct sync_simulation *f, struct daemon *d)
{
	struct op *o = &d->pull;

	if (!o->busy || f->now < o->at)
		return;
	if (!o->replied) {
		reply_to_pull(f, d);
		return;
	}
	if (!o->lost)
		jh_catalog_apply(d->copy, o->asked, &o->delta);
	jh_catalog_delta_clear(&o->delta);
	o->busy = false;
	jh_sync_on_pull(d->sync, f->now, !o->lost, o->age);
}

static void
start_actions(struct sync_simulation *f, struct daemon *d)
{
	uint64_t revision = jh_catalog_revision(d->copy);
	struct jh_sync_action a;
	struct op *o;

	while (jh_sync_next(d->sync, f->now, revision, &a)) {
		o = a.kind == JH_SYNC_PULL ? &d->pull : &d->store;
		assert_false(o->busy);
		f->reads += a.kind != JH_SYNC_PULL;
		memset(o, 0, sizeof(*o));
		o->busy = true;
		o->action = a;
		o->at = f->now + DELAY;
		o->asked = a.kind == JH_SYNC_PULL ? revision : f->now;
		o->lost = g_rand_double(f->rand) <
			  (a.kind == JH_SYNC_PULL ? f->loss : 0.5);
	}
	assert_true(jh_sync_next_wakeup(d->sync) > f->now);
}

/* The version in force at a daemon, 0 when the object does not exist. */
static uint64_t
in_force(struct daemon *d, unsigned int k)
{
	struct jh_model *m =
	    jh_catalog_find_model(d->copy, key_name(k) + strlen("models/"));
	uint64_t version = 0;

	if (m != NULL)
		version = g_ascii_strtoull(m->weights, NULL, 10);
	jh_model_unref(m);
	return version;
}

static void
check(struct sync_simulation *f, struct daemon *d)
{
	uint64_t no_faults = MAX(f->no_faults_since, d->since);
	unsigned int k;
	uint64_t v;

	for (k = 0; k < KEYS; k++) {
		v = in_force(d, k);
		if (v != 0 && v < d->seen[k])
			fail_msg(
			    "%s is on an older version of key %u than before",
			    d->name, k);
		d->seen[k] = MAX(d->seen[k], v);
		if (f->now <= MAX(f->changed[k], no_faults) + IN_FORCE)
			continue;
		f->checks++;
		if (v != (f->deleted[k] ? 0 : f->version[k]))
			fail_msg(
			    "%s does not have version %u of key %u after 8 s",
			    d->name, (unsigned int)f->version[k], k);
	}
}

static void
tick(struct sync_simulation *f)
{
	struct daemon *d;
	unsigned int i;

	f->now += TICK;
	for (i = 0; i < N_DAEMONS; i++) {
		d = &f->daemons[i];
		if (!d->alive)
			continue;
		if ((f->now / TICK + i) % 50 == 0)
			set_peers(f, d);
		step_store(f, d);
		step_pull(f, d);
		start_actions(f, d);
		check(f, d);
	}
}

void
sync_simulation_run(
    struct sync_simulation *f, uint64_t usec, double edits_per_second)
{
	uint64_t end = f->now + usec;

	while (f->now < end) {
		if (g_rand_double(f->rand) <
		    edits_per_second * TICK / JH_USEC_PER_SEC)
			sync_simulation_edit(f);
		tick(f);
	}
}

void
sync_simulation_set_network(
    struct sync_simulation *f, bool store_up, double loss)
{
	f->store_up = store_up;
	f->loss = loss;
	f->no_faults_since = store_up && loss == 0 ? f->now : UINT64_MAX / 2;
}

struct sync_simulation *
sync_simulation_create(uint32_t seed)
{
	struct sync_simulation *f = g_new0(struct sync_simulation, 1);
	struct daemon *d;
	unsigned int i;

	f->now = JH_USEC_PER_SEC;
	f->rand = g_rand_new_with_seed(seed);
	f->history = 1000;
	sync_simulation_set_network(f, true, 0);
	for (i = 0; i < N_DAEMONS; i++) {
		d = &f->daemons[i];
		snprintf(d->name, sizeof(d->name), "i%u", i);
		snprintf(d->zone, sizeof(d->zone), "z%u", i / PER_ZONE);
		d->role =
		    i % PER_ZONE < ENTRIES ? JH_SYNC_ENTRY : JH_SYNC_AGENT;
		start_daemon(f, d);
	}
	for (i = 0; i < 20; i++)
		sync_simulation_edit(f);
	return f;
}

void
sync_simulation_destroy(struct sync_simulation *f)
{
	unsigned int i;

	for (i = 0; i < N_DAEMONS; i++) {
		if (f->daemons[i].alive)
			sync_simulation_crash(f, &f->daemons[i]);
	}
	g_rand_free(f->rand);
	g_free(f);
}

void
sync_simulation_crash_some(struct sync_simulation *f, unsigned int n)
{
	struct daemon *d;

	for (; n > 0; n--) {
		d = &f->daemons[g_rand_int_range(f->rand, 0, N_DAEMONS)];
		if (d->alive)
			sync_simulation_crash(f, d);
	}
}

void
sync_simulation_start_all(struct sync_simulation *f)
{
	unsigned int i;

	for (i = 0; i < N_DAEMONS; i++) {
		if (!f->daemons[i].alive)
			start_daemon(f, &f->daemons[i]);
	}
}
