#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "spread_model.h"

static void
schedule(struct model *m, uint64_t at, enum event_kind kind, uint32_t daemon,
    uint32_t number)
{
	struct wheel_event e = {at, (int)kind, daemon, number};

	wheel_add(&m->wheel, m->now, e);
}

static uint64_t
delay_between(unsigned int zone, unsigned int other)
{
	return zone % REGIONS == other % REGIONS ? SAME_REGION_USEC
						 : OTHER_REGION_USEC;
}

/* The store is in zone 0. */
static uint64_t
store_delay(const struct daemon *d)
{
	return delay_between(d->zone_number, 0);
}

static void
set_revision(struct model *m, struct daemon *d, uint64_t revision)
{
	uint64_t edit;
	uint32_t delay;

	for (; d->revision < revision; d->revision++) {
		edit = g_array_index(m->edits, uint64_t, d->revision);
		delay = (uint32_t)(m->now - edit);
		if (edit >= WARM_UP_USEC)
			g_array_append_val(m->delays, delay);
	}
}

static void
count_read(struct model *m)
{
	if (m->now < WARM_UP_USEC)
		return;
	m->reads++;
	if (m->now / JH_USEC_PER_SEC != m->second) {
		m->second = m->now / JH_USEC_PER_SEC;
		m->second_reads = 0;
	}
	m->second_reads++;
	m->max_second_reads = MAX(m->max_second_reads, m->second_reads);
}

static void
advance(struct model *m, struct daemon *d)
{
	uint32_t self = (uint32_t)(d - m->d);
	struct jh_sync_action a;
	uint64_t wake;

	while (jh_sync_next(d->sync, m->now, d->revision, &a)) {
		if (a.kind == JH_SYNC_PULL) {
			d->peer = (uint32_t)strtoul(a.peer, NULL, 10);
			d->pull_deadline = a.deadline;
			schedule(m,
			    m->now + delay_between(d->zone_number,
					 m->d[d->peer].zone_number),
			    EV_PULL_RECEIVED, self, ++d->pull_number);
		} else {
			d->store = a;
			count_read(m);
			schedule(m, m->now + store_delay(d), EV_STORE_REQUEST,
			    self, ++d->store_number);
		}
	}
	wake = jh_sync_next_wakeup(d->sync);
	if (wake < d->wake || d->wake <= m->now) {
		d->wake = wake;
		schedule(m, wake, EV_WAKE, self, 0);
	}
}

static void
on_pull_received(struct model *m, struct daemon *d)
{
	struct daemon *peer = &m->d[d->peer];
	uint64_t confirmed = peer->alive ? jh_sync_confirmed_at(peer->sync) : 0;
	uint64_t back = delay_between(d->zone_number, peer->zone_number);

	d->pull_ok = peer->alive && g_rand_double(m->rand) >= m->scenario->loss;
	/* A lost call, or one to a stopped daemon, ends at its deadline. */
	if (!d->pull_ok)
		back = d->pull_deadline - m->now;
	d->pull_revision = peer->revision;
	d->pull_age = confirmed == 0 ? JH_SYNC_AGE_UNKNOWN : m->now - confirmed;
	peer->pulls_served += m->now >= WARM_UP_USEC;
	schedule(m, m->now + back, EV_PULL_REPLY, (uint32_t)(d - m->d),
	    d->pull_number);
}

static void
on_pull_reply(struct model *m, struct daemon *d)
{
	if (d->pull_ok && d->pull_revision > d->revision)
		set_revision(m, d, d->pull_revision);
	jh_sync_on_pull(d->sync, m->now, d->pull_ok, d->pull_age);
}

static void
respond_from_store(
    struct model *m, struct daemon *d, enum jh_sync_result result)
{
	d->watching = false;
	d->store_result = result;
	d->store_revision = m->edits->len;
	schedule(m, m->now + store_delay(d), EV_STORE_RESPONSE,
	    (uint32_t)(d - m->d), d->store_number);
}

static void
on_store_request(struct model *m, struct daemon *d)
{
	if (d->store.kind == JH_SYNC_LIST ||
	    d->store.from_revision < m->edits->len) {
		respond_from_store(m, d, JH_SYNC_OK);
		return;
	}
	d->watching = true;
	schedule(m, m->now + d->store.wait_ms * JH_USEC_PER_MSEC,
	    EV_WATCH_TIMEOUT, (uint32_t)(d - m->d), d->store_number);
}

static void
on_edit(struct model *m)
{
	uint32_t i;

	g_array_append_val(m->edits, m->now);
	for (i = 0; i < ENTRIES; i++) {
		if (m->d[i].alive && m->d[i].watching)
			respond_from_store(m, &m->d[i], JH_SYNC_OK);
	}
	schedule(m, m->now + (uint64_t)(g_rand_double(m->rand) * 2 * EDIT_USEC),
	    EV_EDIT, 0, 0);
}

/*
 * Sets the peers of all daemons. Agents know only those of their own zone, to
 * limit the model's memory.
 */
static void
set_all_peers(struct model *m)
{
	struct jh_sync_peer *all = g_new(struct jh_sync_peer, ENTRIES);
	struct jh_sync_peer *same_zone = g_new(struct jh_sync_peer, ENTRIES);
	size_t n = 0, k, i;
	uint32_t j;

	for (j = 0; j < ENTRIES; j++) {
		if (m->d[j].alive)
			all[n++] =
			    (struct jh_sync_peer){m->d[j].name, m->d[j].zone};
	}
	for (j = 0; j < INSTANCES; j++) {
		if (!m->d[j].alive)
			continue;
		for (i = 0, k = 0; i < n; i++) {
			if (strcmp(all[i].zone, m->d[j].zone) == 0)
				same_zone[k++] = all[i];
		}
		if (j < ENTRIES)
			jh_sync_set_peers(m->d[j].sync, all, n);
		else
			jh_sync_set_peers(m->d[j].sync, same_zone, k);
	}
	g_free(all);
	g_free(same_zone);
}

static void
on_kill(struct model *m)
{
	unsigned int zone = m->next_kill++ % ZONES;
	uint32_t i;

	for (i = 0; i < ENTRIES; i++) {
		if (m->d[i].alive && m->d[i].zone_number == zone &&
		    jh_sync_is_watcher(m->d[i].sync, m->now))
			m->d[i].alive = false;
	}
	schedule(m, m->now + LIST_DELAY_USEC, EV_SET_PEERS, 0, 0);
	schedule(m, m->now + KILL_USEC / 2, EV_KILL, 0, 1);
}

static void
handle(struct model *m, const struct wheel_event *e)
{
	struct daemon *d = &m->d[e->target];

	if (e->kind == EV_EDIT) {
		on_edit(m);
		return;
	}
	if (e->kind == EV_SET_PEERS) {
		set_all_peers(m);
		return;
	}
	if (e->kind == EV_KILL) {
		/* The wheel covers less than KILL_USEC, but more than half. */
		if (e->number == 0)
			on_kill(m);
		else
			schedule(m, m->now + KILL_USEC / 2, EV_KILL, 0, 0);
		return;
	}
	if (!d->alive)
		return;
	if (e->kind == EV_PULL_RECEIVED && e->number == d->pull_number)
		on_pull_received(m, d);
	else if (e->kind == EV_PULL_REPLY && e->number == d->pull_number)
		on_pull_reply(m, d);
	else if (e->kind == EV_STORE_REQUEST)
		on_store_request(m, d);
	else if (e->kind == EV_WATCH_TIMEOUT && d->watching &&
		 e->number == d->store_number)
		respond_from_store(m, d, JH_SYNC_UNCHANGED);
	else if (e->kind == EV_STORE_RESPONSE) {
		if (d->store_revision > d->revision)
			set_revision(m, d, d->store_revision);
		jh_sync_on_store(d->sync, m->now, d->store_result);
	}
	advance(m, d);
}

static void
start_daemon(struct model *m, uint32_t i)
{
	struct daemon *d = &m->d[i];
	struct jh_sync_spec spec = {d->name, d->zone,
	    i < ENTRIES ? JH_SYNC_ENTRY : JH_SYNC_AGENT, m->rand};

	snprintf(d->name, sizeof(d->name), "%u", i);
	d->zone_number = i % ZONES;
	snprintf(d->zone, sizeof(d->zone), "z%u", d->zone_number);
	d->alive = true;
	d->sync = jh_sync_create(&spec, m->now);
	schedule(m, m->now, EV_WAKE, i, 0);
}

void
spread_model_init(
    struct model *m, const struct scenario *scenario, uint64_t seed)
{
	uint32_t i;

	memset(m, 0, sizeof(*m));
	m->scenario = scenario;
	m->rand = g_rand_new_with_seed((guint32)seed);
	m->edits = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->delays = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	m->d = g_new0(struct daemon, INSTANCES);
	m->now = JH_USEC_PER_SEC;
	wheel_init(&m->wheel, m->now);
	for (i = 0; i < INSTANCES; i++)
		start_daemon(m, i);
	set_all_peers(m);
	schedule(m, m->now, EV_EDIT, 0, 0);
	if (scenario->kills)
		schedule(m, m->now + KILL_USEC / 2, EV_KILL, 0, 1);
}

void
spread_model_run(struct model *m)
{
	struct wheel_event e;

	while (wheel_next(&m->wheel, RUN_USEC, &e)) {
		m->now = MAX(m->now, e.at);
		handle(m, &e);
	}
}

void
spread_model_clear(struct model *m)
{
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		jh_sync_destroy(m->d[i].sync);
	wheel_clear(&m->wheel);
	g_array_free(m->edits, TRUE);
	g_array_free(m->delays, TRUE);
	g_rand_free(m->rand);
	g_free(m->d);
}
