#include <string.h>

#include <glib.h>

#include "route/peers.h"

struct peer {
	uint64_t id;
	uint64_t number; /* of its last message */
	uint64_t received; /* time of the last message */
	GArray *reports; /* struct jh_peer_report */
};

struct jh_peers {
	GHashTable *peers; /* by id */
	uint64_t generation; /* of the fleet when the sums were last rebuilt */
};

static void
free_peer(void *p)
{
	struct peer *peer = p;

	g_array_free(peer->reports, TRUE);
	g_free(peer);
}

struct jh_peers *
jh_peers_create(void)
{
	struct jh_peers *p = g_new0(struct jh_peers, 1);

	p->peers =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_peer);
	return p;
}

void
jh_peers_destroy(struct jh_peers *p)
{
	if (p == NULL)
		return;
	g_hash_table_destroy(p->peers);
	g_free(p);
}

static void
add_report(struct jh_fleet *f, const struct jh_peer_report *r, int sign)
{
	struct jh_worker *w = jh_fleet_find_hash(f, r->worker);

	if (w == NULL)
		return;
	w->others_running += (unsigned int)sign * r->running;
	w->others_prefill += (uint64_t)((int64_t)sign * r->prefill_tokens);
	w->others_held += (uint64_t)((int64_t)sign * r->held_tokens);
	w->others_urgent += (uint64_t)((int64_t)sign * r->urgent_tokens);
}

static void
add_peer(struct jh_fleet *f, const struct peer *peer, int sign)
{
	guint i;

	for (i = 0; i < peer->reports->len; i++)
		add_report(f,
		    &g_array_index(peer->reports, struct jh_peer_report, i),
		    sign);
}

/*
 * Rebuilds the sums of all reports if workers were added or removed since they
 * were last rebuilt; otherwise each message keeps them up to date.
 */
static void
rebuild_sums(struct jh_peers *p, struct jh_fleet *f)
{
	GHashTableIter it;
	gpointer value;
	size_t i;

	if (p->generation == jh_fleet_generation(f))
		return;
	p->generation = jh_fleet_generation(f);
	for (i = 0; i < jh_fleet_count(f); i++) {
		struct jh_worker *w = jh_fleet_at(f, i);
		w->others_running = 0;
		w->others_prefill = 0;
		w->others_held = 0;
		w->others_urgent = 0;
	}
	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		add_peer(f, value, 1);
}

static void
update_state(struct jh_fleet *f, uint64_t now, uint64_t peer,
    const struct jh_peer_report *r)
{
	struct jh_worker *w = jh_fleet_find_hash(f, r->worker);
	const struct jh_worker_model *m = NULL;

	if (w == NULL)
		return;
	if (r->replaced)
		jh_worker_replaced(w, now);
	if (r->leaving)
		jh_worker_heard_leaving(w, now);
	if (r->unreachable)
		jh_worker_heard_unreachable(
		    w, now, peer, JH_PEERS_RESPONDED_USEC);
	if (r->responded)
		w->others_responded_at = now - JH_PEERS_RESPONDED_USEC;
	/* Versions only rise, so the higher of two is the later. */
	if (w->models->len > 0)
		m = jh_worker_model_at(w, 0);
	if (m != NULL && r->weights > m->weights && m->weights != 0)
		jh_worker_observed_weights(w, now, m->name, r->weights);
	if (r->loading && r->weights <= (m != NULL ? m->weights : 0))
		w->changing_until = now + JH_FLEET_CHANGING_USEC;
}

bool
jh_peers_receive(struct jh_peers *p, struct jh_fleet *f, uint64_t now,
    uint64_t peer, uint64_t number, const struct jh_peer_report *reports,
    size_t n)
{
	struct peer *from = g_hash_table_lookup(p->peers, &peer);
	size_t i;

	if (from == NULL) {
		from = g_new0(struct peer, 1);
		from->id = peer;
		from->reports =
		    g_array_new(FALSE, FALSE, sizeof(struct jh_peer_report));
		g_hash_table_insert(p->peers, &from->id, from);
	} else if (number <= from->number) {
		return false;
	}
	rebuild_sums(p, f);
	add_peer(f, from, -1);
	from->number = number;
	from->received = now;
	g_array_set_size(from->reports, 0);
	if (n > 0)
		g_array_append_vals(from->reports, reports, (guint)n);
	add_peer(f, from, 1);
	for (i = 0; i < n; i++)
		update_state(f, now, peer, &reports[i]);
	return true;
}

void
jh_peers_expire(
    struct jh_peers *p, struct jh_fleet *f, uint64_t now, uint64_t timeout)
{
	GHashTableIter it;
	gpointer value;

	rebuild_sums(p, f);
	g_hash_table_iter_init(&it, p->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct peer *peer = value;
		if (now - peer->received <= timeout)
			continue;
		add_peer(f, peer, -1);
		g_hash_table_iter_remove(&it);
	}
}

size_t
jh_peers_count(const struct jh_peers *p)
{
	return g_hash_table_size(p->peers);
}
