#include <string.h>

#include <glib.h>
#include <sodium.h>

#include <jacinthhill/clock.h>

#include "gateway/crash_message.h"
#include "gateway/gossip.h"
#include "gateway/quota_message.h"
#include "gateway/rate_message.h"
#include "gateway/wire.h"
#include "route/fanout.h"

/* Interval between rounds; a worker's queue turns over in about this time. */
#define ROUND_MSEC 200

/*
 * Message layout, little-endian: magic, id of the sender's key, message number,
 * revisions and their era, numbers of reports and of placements, reports of
 * workers, placements, MAC.
 */
#define MAGIC 0x4a484731U /* "JHG1" */
#define REVISION_LEN 6
#define HEAD_LEN (24 + REVISION_LEN * (JH_GOSSIP_POSITIONS + 1))
#define REPORT_LEN 22
#define PLACEMENT_LEN 16
#define MAC_LEN 16

/*
 * Two more messages, of crashes and of rate limits, have the same first three
 * fields and MAC, and their records between them. They are sent only while
 * there are any.
 */
#define CRASH_MAGIC 0x4a484331U /* "JHC1" */
#define RATE_MAGIC 0x4a485231U /* "JHR1" */
/* So is the message of quotas, but it goes to all peers when it is due. */
#define QUOTA_MAGIC 0x4a485131U /* "JHQ1" */
#define ENVELOPE_LEN 20

/* Rounds in which a changed crash is sent; more than one turn of all peers. */
#define CRASH_ROUNDS 16
/*
 * Quarantined parts are sent to all peers once in so many rounds: in one turn
 * of consecutive rounds, as peers take turns.
 */
#define QUARANTINE_ROUNDS 8

/*
 * Peers that get a message of quotas at once; more take turns. 64 messages of
 * 356 bytes, with ten quotas in use, 20 times a second at most take 3.6 Mbit/s
 * of the slowest specified link, which has 10 Mbit/s.
 */
#define QUOTA_PEERS 64

/* Quotas are looked after between the rounds of the other messages, too. */
#define QUOTA_MSEC 50

/* Flags of a report. */
#define FLAG_LOADING 1U
#define FLAG_REPLACED 2U
#define FLAG_RESPONDED 4U
#define FLAG_LEAVING 8U
#define FLAG_UNREACHABLE 16U
/* The other bits are the urgent part of the prompt tokens, in sevenths. */
#define URGENT_SHIFT 5
#define URGENT_PARTS 7U

/* A datagram stays below the usual path MTU of 1,500 bytes. */
#define MAX_LEN 1440
#define MAX_REPORTS 48
#define MAX_PLACEMENTS 80

/* Placements that wait to be announced; the oldest are dropped beyond that. */
#define MAX_ANNOUNCEMENTS 512

/* Token counts are sent in units of this many. */
#define TOKEN_UNIT 16

struct peer {
	char *name;
	bool same_region;
	struct sockaddr_in address;
	unsigned char key[JH_GOSSIP_KEY_LEN];
	uint64_t id; /* of the key */
};

/* A placement that is announced. */
struct announcement {
	struct jh_placement placement;
	unsigned int rounds; /* that are left to announce it in */
};

struct jh_gossip {
	struct jh_gossip_spec spec;
	uv_udp_t udp;
	uv_timer_t round_timer;
	uv_timer_t quota_timer;
	unsigned char key[JH_GOSSIP_KEY_LEN];
	uint64_t id; /* of the key */
	uint64_t number; /* of the last message */
	struct jh_position positions[JH_GOSSIP_POSITIONS];
	GHashTable *peers; /* name to struct peer */
	GHashTable *by_id; /* the same, by id of the key */
	struct jh_fanout *fanout;
	GArray *announcements; /* struct announcement */
	size_t next_worker; /* first worker of the next message */
	struct jh_peers *reports;
	unsigned char message[MAX_LEN]; /* last one written */
	size_t message_len;
	unsigned char crash_message[MAX_LEN];
	size_t crash_message_len; /* 0: there is nothing to tell */
	uint64_t crash_revision[CRASH_ROUNDS]; /* of the suspects, by round */
	uint64_t crash_turn;
	unsigned char rate_message[MAX_LEN];
	size_t rate_message_len; /* 0: there is nothing to tell */
	size_t next_rate; /* first limit of the next message */
	unsigned char quota_message[MAX_LEN];
	size_t quota_message_len;
	size_t next_quota; /* first quota of the next message */
	unsigned int quota_peers_left; /* that have not got the message */
	unsigned int open_handles; /* not closed yet */
	char buffer[2048];
};

static void
free_peer(void *arg)
{
	struct peer *p = arg;

	g_free(p->name);
	g_free(p);
}

static uint64_t
key_id(const unsigned char key[JH_GOSSIP_KEY_LEN])
{
	uint64_t id;

	crypto_generichash(
	    (unsigned char *)&id, sizeof(id), key, JH_GOSSIP_KEY_LEN, NULL, 0);
	return id;
}

static uint64_t
units(uint64_t tokens)
{
	return MIN((tokens + TOKEN_UNIT - 1) / TOKEN_UNIT, UINT16_MAX);
}

static void
put_report(unsigned char **at, const struct jh_worker *w, unsigned int flags)
{
	jh_wire_put(at, w->hash, 8);
	jh_wire_put(at, MIN(w->running, UINT16_MAX), 2);
	jh_wire_put(at, units(w->prefill_tokens), 2);
	jh_wire_put(at, units(w->held_tokens), 2);
	jh_wire_put(
	    at, w->models->len > 0 ? jh_worker_model_at(w, 0)->weights : 0, 7);
	jh_wire_put(at, flags, 1);
}

/* Rounded up, so that urgent work is never taken for none. */
static unsigned int
urgent_parts(const struct jh_worker *w)
{
	if (w->prefill_tokens == 0)
		return 0;
	return (unsigned int)((MIN(w->urgent_tokens, w->prefill_tokens) *
				      URGENT_PARTS +
				  w->prefill_tokens - 1) /
			      w->prefill_tokens);
}

/* Workers that do not fit into this message come first in the next one. */
static uint16_t
put_reports(struct jh_gossip *g, unsigned char **at)
{
	size_t n = jh_fleet_count(g->spec.fleet), i, next = 0;
	uint64_t now = jh_now();
	uint16_t n_reports = 0;

	for (i = 0; i < n; i++) {
		size_t k = (g->next_worker + i) % n;
		const struct jh_worker *w = jh_fleet_at(g->spec.fleet, k);
		unsigned int flags = 0;
		if (jh_weights_in_progress(g->spec.weights, w->id))
			flags |= FLAG_LOADING;
		if (jh_worker_announces_replaced(w, now))
			flags |= FLAG_REPLACED;
		if (w->announced_leaving)
			flags |= FLAG_LEAVING;
		if (w->models->len > 0 && w->responded_at != 0 &&
		    now - w->responded_at < JH_PEERS_RESPONDED_USEC)
			flags |= FLAG_RESPONDED;
		if (jh_worker_announces_unreachable(w, now))
			flags |= FLAG_UNREACHABLE;
		flags |= urgent_parts(w) << URGENT_SHIFT;
		if (flags == 0 && (w->models->len == 0 || w->running == 0))
			continue;
		if (n_reports == MAX_REPORTS) {
			next = k;
			break;
		}
		put_report(at, w, flags);
		n_reports++;
	}
	g->next_worker = next;
	return n_reports;
}

/* Each is announced in as many rounds as reach every peer of the region. */
static void
collect_announcements(struct jh_gossip *g)
{
	struct jh_placement fresh[MAX_PLACEMENTS];
	struct announcement a = {.rounds = jh_fanout_period(g->fanout)};
	size_t i, n;

	n = jh_chooser_take_announcements(
	    g->spec.chooser, fresh, MAX_PLACEMENTS);
	for (i = 0; i < n; i++) {
		a.placement = fresh[i];
		g_array_append_val(g->announcements, a);
	}
	if (g->announcements->len > MAX_ANNOUNCEMENTS)
		g_array_remove_range(g->announcements, 0,
		    g->announcements->len - MAX_ANNOUNCEMENTS);
}

static uint16_t
put_announcements(struct jh_gossip *g, unsigned char **at, size_t room)
{
	guint n = (guint)MIN(room / PLACEMENT_LEN, MAX_PLACEMENTS);
	uint16_t n_placements = 0;
	guint i;

	for (i = 0; i < g->announcements->len && n_placements < n;) {
		struct announcement *a =
		    &g_array_index(g->announcements, struct announcement, i);
		jh_wire_put(at, a->placement.key, 8);
		jh_wire_put(at, a->placement.worker, 8);
		n_placements++;
		if (--a->rounds == 0)
			g_array_remove_index(g->announcements, i);
		else
			i++;
	}
	return n_placements;
}

/* Returns the length of the message with its MAC. */
static size_t
append_mac(
    const struct jh_gossip *g, const unsigned char *message, unsigned char *end)
{
	size_t len = (size_t)(end - message);

	crypto_generichash(
	    end, MAC_LEN, message, len, g->key, JH_GOSSIP_KEY_LEN);
	return len + MAC_LEN;
}

/* Writes the fields before the records of a message. */
static void
put_envelope(const struct jh_gossip *g, unsigned char **at, uint64_t magic)
{
	jh_wire_put(at, magic, 4);
	jh_wire_put(at, g->id, 8);
	jh_wire_put(at, g->number, 8);
}

static void
write_rate_message(struct jh_gossip *g)
{
	unsigned char *out = g->rate_message, *at = out;
	size_t n;

	put_envelope(g, &at, RATE_MAGIC);
	n = jh_rate_message_write(g->spec.rate_limits, jh_now(), &g->next_rate,
	    at, MAX_LEN - ENVELOPE_LEN - MAC_LEN);
	g->rate_message_len = n > 0 ? append_mac(g, out, at + n) : 0;
}

/*
 * Crashes that changed are sent for some rounds, so that they reach all peers
 * in spite of lost messages; quarantined parts from time to time, for peers
 * that have restarted.
 */
static void
write_crash_message(struct jh_gossip *g)
{
	const struct jh_suspects *s = g->spec.suspects;
	unsigned char *out = g->crash_message, *at = out;
	uint64_t since, revision;
	size_t n;

	g->crash_message_len = 0;
	if (s == NULL)
		return;
	revision = jh_suspects_revision(s);
	since = g->crash_revision[g->number % CRASH_ROUNDS];
	g->crash_revision[g->number % CRASH_ROUNDS] = revision;
	if (since == revision &&
	    g->number % QUARANTINE_ROUNDS > jh_fanout_period(g->fanout))
		return;
	put_envelope(g, &at, CRASH_MAGIC);
	n = jh_crash_message_write(s, jh_now(), since, g->crash_turn++, at,
	    MAX_LEN - ENVELOPE_LEN - MAC_LEN);
	if (n > 0)
		g->crash_message_len = append_mac(g, out, at + n);
}

/* A position of an earlier era than the latest is written as none. */
static void
put_positions(const struct jh_gossip *g, unsigned char **at)
{
	const struct jh_position *p = g->positions;
	uint64_t era = 0;
	size_t i;

	for (i = 0; i < JH_GOSSIP_POSITIONS; i++)
		era = MAX(era, p[i].era);
	for (i = 0; i < JH_GOSSIP_POSITIONS; i++)
		jh_wire_put(
		    at, p[i].era == era ? p[i].revision : 0, REVISION_LEN);
	jh_wire_put(at, era, REVISION_LEN);
}

static void
take_positions(
    const unsigned char **at, struct jh_position out[JH_GOSSIP_POSITIONS])
{
	uint64_t era;
	size_t i;

	for (i = 0; i < JH_GOSSIP_POSITIONS; i++)
		out[i].revision = jh_wire_take(at, REVISION_LEN);
	era = jh_wire_take(at, REVISION_LEN);
	for (i = 0; i < JH_GOSSIP_POSITIONS; i++)
		out[i].era = era;
}

static void
write_message(struct jh_gossip *g)
{
	unsigned char *out = g->message, *at = out, *count;
	uint16_t n_reports, n_placements;

	g->number++;
	put_envelope(g, &at, MAGIC);
	put_positions(g, &at);
	count = at;
	at += 4;
	n_reports = put_reports(g, &at);
	collect_announcements(g);
	n_placements =
	    put_announcements(g, &at, (size_t)(out + MAX_LEN - MAC_LEN - at));
	jh_wire_put(&count, n_reports, 2);
	jh_wire_put(&count, n_placements, 2);
	g->message_len = append_mac(g, out, at);
	write_crash_message(g);
	write_rate_message(g);
}

static void
send_datagram(struct jh_gossip *g, const struct peer *p, unsigned char *message,
    size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)message, (unsigned int)len);

	/* Lost if the socket is full; the next message replaces it. */
	if (len > 0 && uv_udp_try_send(&g->udp, &buf, 1,
			   (const struct sockaddr *)&p->address) < 0)
		jh_metrics_add(g->spec.metrics, "jh_gossip_not_sent", 1);
}

static void
send_to(void *arg, void *peer)
{
	struct jh_gossip *g = arg;

	send_datagram(g, peer, g->message, g->message_len);
	send_datagram(g, peer, g->crash_message, g->crash_message_len);
	send_datagram(g, peer, g->rate_message, g->rate_message_len);
}

void
jh_gossip_send(struct jh_gossip *g)
{
	GHashTableIter it;
	gpointer peer;

	write_message(g);
	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &peer))
		send_to(g, peer);
}

static void
send_quota_message(void *arg, void *peer)
{
	struct jh_gossip *g = arg;

	send_datagram(g, peer, g->quota_message, g->quota_message_len);
}

static void
send_quotas(struct jh_gossip *g)
{
	unsigned char *out = g->quota_message, *at = out;
	unsigned int n;

	if (jh_quota_ledger_is_due(g->spec.quotas, jh_now())) {
		put_envelope(g, &at, QUOTA_MAGIC);
		at += jh_quota_message_write(g->spec.quotas, jh_now(),
		    &g->next_quota, at, MAX_LEN - ENVELOPE_LEN - MAC_LEN);
		g->quota_message_len = append_mac(g, out, at);
		g->quota_peers_left = g_hash_table_size(g->peers);
	}
	n = MIN(g->quota_peers_left, QUOTA_PEERS);
	g->quota_peers_left -= n;
	jh_fanout_turn(g->fanout, n, send_quota_message, g);
}

static bool
has_valid_mac(const struct peer *p, const unsigned char *message, size_t len)
{
	unsigned char mac[MAC_LEN];

	crypto_generichash(
	    mac, MAC_LEN, message, len - MAC_LEN, p->key, JH_GOSSIP_KEY_LEN);
	return sodium_memcmp(mac, message + len - MAC_LEN, MAC_LEN) == 0;
}

/* Reads a message of crashes or of rate limits. */
static void
read_records(struct jh_gossip *g, uint64_t magic, const unsigned char *message,
    size_t len)
{
	const unsigned char *at = message + 4, *records;
	uint64_t id = jh_wire_take(&at, 8);
	const struct peer *p = g_hash_table_lookup(g->by_id, &id);
	bool valid = p != NULL && has_valid_mac(p, message, len);

	records = message + ENVELOPE_LEN;
	len -= ENVELOPE_LEN + MAC_LEN;
	if (valid && magic == CRASH_MAGIC)
		valid = jh_crash_message_read(
		    g->spec.suspects, jh_now(), records, len);
	else if (valid && magic == QUOTA_MAGIC) {
		jh_quota_ledger_peer_heard(g->spec.quotas, jh_now(), id);
		valid = jh_quota_message_read(
		    g->spec.quotas, jh_now(), id, records, len);
	} else if (valid)
		valid = jh_rate_message_read(
		    g->spec.rate_limits, jh_now(), id, records, len);
	if (!valid)
		jh_metrics_add(g->spec.metrics, "jh_gossip_ignored", 1);
}

static void
read_message(struct jh_gossip *g, const unsigned char *message, size_t len)
{
	struct jh_peer_report reports[MAX_REPORTS];
	const unsigned char *at = message;
	const struct peer *p;
	struct jh_position positions[JH_GOSSIP_POSITIONS];
	uint64_t id, number, count, n_announced, flags, i;

	if (len < HEAD_LEN + MAC_LEN || jh_wire_take(&at, 4) != MAGIC)
		return;
	id = jh_wire_take(&at, 8);
	number = jh_wire_take(&at, 8);
	take_positions(&at, positions);
	count = jh_wire_take(&at, 2);
	n_announced = jh_wire_take(&at, 2);
	p = g_hash_table_lookup(g->by_id, &id);
	if (p == NULL || count > MAX_REPORTS || n_announced > MAX_PLACEMENTS ||
	    len != HEAD_LEN + count * REPORT_LEN + n_announced * PLACEMENT_LEN +
		       MAC_LEN ||
	    !has_valid_mac(p, message, len)) {
		jh_metrics_add(g->spec.metrics, "jh_gossip_ignored", 1);
		return;
	}
	for (i = 0; i < count; i++) {
		reports[i].worker = jh_wire_take(&at, 8);
		reports[i].running = (uint32_t)jh_wire_take(&at, 2);
		reports[i].prefill_tokens =
		    (uint32_t)jh_wire_take(&at, 2) * TOKEN_UNIT;
		reports[i].held_tokens =
		    (uint32_t)jh_wire_take(&at, 2) * TOKEN_UNIT;
		reports[i].weights = jh_wire_take(&at, 7);
		flags = jh_wire_take(&at, 1);
		reports[i].loading = (flags & FLAG_LOADING) != 0;
		reports[i].replaced = (flags & FLAG_REPLACED) != 0;
		reports[i].leaving = (flags & FLAG_LEAVING) != 0;
		reports[i].responded = (flags & FLAG_RESPONDED) != 0;
		reports[i].unreachable = (flags & FLAG_UNREACHABLE) != 0;
		reports[i].urgent_tokens = reports[i].prefill_tokens *
					   (uint32_t)(flags >> URGENT_SHIFT) /
					   URGENT_PARTS;
	}
	if (!jh_peers_receive(g->reports, g->spec.fleet, jh_now(), id, number,
		reports, count))
		return;
	jh_metrics_add(g->spec.metrics, "jh_gossip_heard", 1);
	jh_rate_limits_peer_heard(g->spec.rate_limits, jh_now(), id);
	if (g->spec.quotas != NULL)
		jh_quota_ledger_peer_heard(g->spec.quotas, jh_now(), id);
	if (g->spec.on_peer != NULL)
		g->spec.on_peer(g->spec.arg, p->name);
	if (g->spec.on_positions != NULL)
		g->spec.on_positions(g->spec.arg, positions);
	for (i = 0; i < n_announced; i++) {
		struct jh_placement placed;
		placed.key = jh_wire_take(&at, 8);
		placed.worker = jh_wire_take(&at, 8);
		jh_chooser_add_placement(g->spec.chooser, jh_now(), &placed);
	}
}

static void
read_datagram(struct jh_gossip *g, const unsigned char *datagram, size_t len)
{
	const unsigned char *at = datagram;
	uint64_t magic;

	if (len < ENVELOPE_LEN + MAC_LEN)
		return;
	magic = jh_wire_take(&at, 4);
	if (magic == RATE_MAGIC ||
	    (magic == CRASH_MAGIC && g->spec.suspects != NULL) ||
	    (magic == QUOTA_MAGIC && g->spec.quotas != NULL))
		read_records(g, magic, datagram, len);
	else
		read_message(g, datagram, len);
}

static void
on_alloc(uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
	struct jh_gossip *g = h->data;

	*buf = uv_buf_init(g->buffer, sizeof(g->buffer));
}

static void
on_receive(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned int flags)
{
	if (n > 0 && (flags & UV_UDP_PARTIAL) == 0)
		read_datagram(
		    udp->data, (const unsigned char *)buf->base, (size_t)n);
}

static void
on_quota_timer(uv_timer_t *t)
{
	send_quotas(t->data);
}

/* The timer runs while there are quotas. */
static void
update_quota_timer(struct jh_gossip *g)
{
	bool needed =
	    g->spec.quotas != NULL && jh_quota_ledger_count(g->spec.quotas) > 0;

	if (needed == (uv_is_active((uv_handle_t *)&g->quota_timer) != 0))
		return;
	if (needed)
		uv_timer_start(
		    &g->quota_timer, on_quota_timer, QUOTA_MSEC, QUOTA_MSEC);
	else
		uv_timer_stop(&g->quota_timer);
}

static void
on_round(uv_timer_t *t)
{
	struct jh_gossip *g = t->data;
	uint64_t rounds_usec =
	    (jh_fanout_period(g->fanout) - 1) * ROUND_MSEC * JH_USEC_PER_MSEC;

	jh_peers_expire(g->reports, g->spec.fleet, jh_now(),
	    JH_PEERS_TIMEOUT_USEC + 2 * rounds_usec);
	jh_rate_limits_update(g->spec.rate_limits, jh_now(), g->spec.fleet);
	write_message(g);
	jh_fanout_round(g->fanout, send_to, g);
	update_quota_timer(g);
}

static void
on_closed(uv_handle_t *h)
{
	struct jh_gossip *g = h->data;

	if (--g->open_handles > 0)
		return;
	g_hash_table_destroy(g->by_id);
	g_hash_table_destroy(g->peers);
	jh_fanout_destroy(g->fanout);
	g_array_free(g->announcements, TRUE);
	jh_peers_destroy(g->reports);
	g_free(g);
}

struct jh_gossip *
jh_gossip_create(const struct jh_gossip_spec *spec, int *error)
{
	struct jh_gossip *g = g_new0(struct jh_gossip, 1);

	g->spec = *spec;
	g->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	g->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->fanout = jh_fanout_create();
	g->announcements =
	    g_array_new(FALSE, FALSE, sizeof(struct announcement));
	g->reports = jh_peers_create();
	randombytes_buf(g->key, sizeof(g->key));
	g->id = key_id(g->key);
	jh_rate_limits_set_self(spec->rate_limits, g->id);
	if (spec->quotas != NULL)
		jh_quota_ledger_set_self(spec->quotas, g->id);
	uv_udp_init(spec->loop, &g->udp);
	uv_timer_init(spec->loop, &g->round_timer);
	uv_timer_init(spec->loop, &g->quota_timer);
	g->udp.data = g;
	g->round_timer.data = g;
	g->quota_timer.data = g;
	g->open_handles = 3;
	*error =
	    uv_udp_bind(&g->udp, (const struct sockaddr *)&spec->address, 0);
	if (*error == 0)
		*error = uv_udp_recv_start(&g->udp, on_alloc, on_receive);
	if (*error != 0) {
		jh_gossip_destroy(g);
		return NULL;
	}
	uv_timer_start(&g->round_timer, on_round, ROUND_MSEC, ROUND_MSEC);
	return g;
}

void
jh_gossip_destroy(struct jh_gossip *g)
{
	if (g == NULL)
		return;
	uv_close((uv_handle_t *)&g->udp, on_closed);
	uv_close((uv_handle_t *)&g->round_timer, on_closed);
	uv_close((uv_handle_t *)&g->quota_timer, on_closed);
}

const unsigned char *
jh_gossip_key(const struct jh_gossip *g)
{
	return g->key;
}

static bool
is_same_peer(const struct peer *p, bool same_region,
    const struct sockaddr_in *address,
    const unsigned char key[JH_GOSSIP_KEY_LEN])
{
	return p->same_region == same_region &&
	       p->address.sin_addr.s_addr == address->sin_addr.s_addr &&
	       p->address.sin_port == address->sin_port &&
	       sodium_memcmp(p->key, key, JH_GOSSIP_KEY_LEN) == 0;
}

void
jh_gossip_set_peer(struct jh_gossip *g, const char *name, bool same_region,
    const struct sockaddr_in *address,
    const unsigned char key[JH_GOSSIP_KEY_LEN])
{
	struct peer *p = g_hash_table_lookup(g->peers, name);

	if (p != NULL && is_same_peer(p, same_region, address, key))
		return;
	jh_gossip_remove_peer(g, name);
	p = g_new0(struct peer, 1);
	p->same_region = same_region;
	p->address = *address;
	memcpy(p->key, key, JH_GOSSIP_KEY_LEN);
	p->id = key_id(key);
	p->name = g_strdup(name);
	g_hash_table_insert(g->peers, p->name, p);
	g_hash_table_insert(g->by_id, &p->id, p);
	jh_fanout_add(g->fanout, p, same_region);
	jh_rate_limits_add_peer(g->spec.rate_limits, jh_now(), p->id);
	if (g->spec.quotas != NULL)
		jh_quota_ledger_add_peer(g->spec.quotas, p->id);
}

void
jh_gossip_set_position(
    struct jh_gossip *g, size_t i, const struct jh_position *p)
{
	if (jh_position_compare(p, &g->positions[i]) > 0)
		g->positions[i] = *p;
}

void
jh_gossip_remove_peer(struct jh_gossip *g, const char *name)
{
	struct peer *p = g_hash_table_lookup(g->peers, name);

	if (p == NULL)
		return;
	jh_fanout_remove(g->fanout, p);
	jh_rate_limits_remove_peer(g->spec.rate_limits, p->id);
	if (g->spec.quotas != NULL)
		jh_quota_ledger_remove_peer(g->spec.quotas, jh_now(), p->id);
	g_hash_table_remove(g->by_id, &p->id);
	g_hash_table_remove(g->peers, name);
}

/* Of the peers up to the n-th, each is chosen with the same probability. */
size_t
jh_gossip_random_peers(
    const struct jh_gossip *g, struct sockaddr_in *out, size_t max)
{
	GHashTableIter it;
	gpointer p;
	size_t n = 0, at;

	g_hash_table_iter_init(&it, g->peers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		at = n < max ? n : randombytes_uniform((uint32_t)n + 1);
		n++;
		if (at < max)
			out[at] = ((const struct peer *)p)->address;
	}
	return MIN(n, max);
}

size_t
jh_gossip_peer_count(const struct jh_gossip *g)
{
	return g_hash_table_size(g->peers);
}

const struct sockaddr_in *
jh_gossip_address(const struct jh_gossip *g, const char *name)
{
	const struct peer *p = g_hash_table_lookup(g->peers, name);

	return p != NULL ? &p->address : NULL;
}

size_t
jh_gossip_live_peers(const struct jh_gossip *g)
{
	return jh_peers_count(g->reports);
}
