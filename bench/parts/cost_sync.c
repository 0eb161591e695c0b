#include <stdio.h>
#include <string.h>

#include <arpa/inet.h>
#include <glib.h>

#include <jacinthhill/clock.h>

#include "cost.h"
#include "cost_catalog.h"
#include "feed/feed.h"
#include "rpc/proc.h"
#include "rpc/seal.h"
#include "rpc/server.h"

#define ORGS 1300
#define REVISION ((uint64_t)ORGS * (COST_CLASSES + 1))
#define CALL_TIMEOUT_USEC (5 * JH_USEC_PER_SEC)

struct pull {
	struct jh_catalog *from;
	struct jh_catalog *to;
	struct jh_auth_key key;
	struct sockaddr_in server;
	uint64_t known_revision; /* revision that the puller has */
	unsigned long wire_bytes; /* bytes of the sealed request and reply */
	unsigned int failed;
};

static void
fill_reply(
    struct jh_catalog *c, uint64_t known_revision, struct jh_sync_reply *r)
{
	struct jh_catalog_delta d;
	size_t i;

	r->instance = g_strdup("entry-mtl-a-1");
	if (!jh_catalog_delta(c, known_revision, 8 << 20, &d))
		return;
	r->revision = d.revision;
	r->full = d.full;
	r->floor = d.deletions_after;
	r->entries.entries_len = (u_int)d.n;
	r->entries.entries_val = g_new0(struct jh_wire_entry, d.n);
	for (i = 0; i < d.n; i++)
		r->entries.entries_val[i] = (struct jh_wire_entry){
		    g_strdup(d.items[i].key), d.items[i].version,
		    g_strdup(d.items[i].json == NULL ? "" : d.items[i].json)};
	jh_catalog_delta_clear(&d);
}

static void
apply_reply(struct pull *p, const struct jh_sync_reply *r)
{
	struct jh_catalog_delta d = {.revision = r->revision,
	    .full = r->full,
	    .deletions_after = r->floor};
	u_int i;

	d.n = r->entries.entries_len;
	d.items = g_new0(struct jh_catalog_item, d.n);
	for (i = 0; i < d.n; i++)
		d.items[i] =
		    (struct jh_catalog_item){r->entries.entries_val[i].key,
			r->entries.entries_val[i].entry_version,
			r->entries.entries_val[i].json};
	jh_catalog_apply(p->to, p->known_revision, &d);
	g_free(d.items);
}

/* Seals and unseals one value, as the two ends of an RPC do. */
static void
seal_and_unseal(struct pull *p, enum jh_seal_direction dir, xdrproc_t xdr,
    void *in, void *out)
{
	struct jh_sealed s = {0};

	jh_auth_random(s.nonce, sizeof(s.nonce));
	if (!jh_seal(&p->key, JH_SYNC, dir, xdr, in, &s) ||
	    !jh_unseal(&p->key, JH_SYNC, dir, &s, xdr, out))
		p->failed++;
	p->wire_bytes += xdr_sizeof((xdrproc_t)xdr_jh_sealed, &s);
	xdr_free((xdrproc_t)xdr_jh_sealed, &s);
}

static void
pull_in_memory(void *arg, uint64_t i)
{
	struct pull *p = arg;
	struct jh_sync_args args = {.instance = g_strdup("agent-mtl-a-12"),
	    .incarnation = 1,
	    .revision = p->known_revision};
	struct jh_sync_args got_args = {0};
	struct jh_sync_reply reply = {0}, got = {0};

	p->wire_bytes = 0;
	seal_and_unseal(
	    p, JH_SEAL_REQUEST, (xdrproc_t)xdr_jh_sync_args, &args, &got_args);
	fill_reply(p->from, got_args.revision, &reply);
	seal_and_unseal(
	    p, JH_SEAL_REPLY, (xdrproc_t)xdr_jh_sync_reply, &reply, &got);
	apply_reply(p, &got);
	xdr_free((xdrproc_t)xdr_jh_sync_args, &args);
	xdr_free((xdrproc_t)xdr_jh_sync_args, &got_args);
	xdr_free((xdrproc_t)xdr_jh_sync_reply, &reply);
	xdr_free((xdrproc_t)xdr_jh_sync_reply, &got);
}

static void
serve(void *arg, const void *args, void *reply)
{
	struct pull *p = arg;
	const struct jh_sync_args *a = args;

	fill_reply(p->from, a->revision, reply);
}

static void
pull_by_rpc(void *arg, uint64_t i)
{
	struct pull *p = arg;
	struct jh_sync_reply reply = {0};
	struct jh_sync_args args = {.instance = "agent-mtl-a-12",
	    .incarnation = 1,
	    .revision = p->known_revision};

	if (!jh_rpc_call(&p->server, &p->key, JH_SYNC, &args, &reply,
		jh_now() + CALL_TIMEOUT_USEC, NULL)) {
		p->failed++;
		return;
	}
	apply_reply(p, &reply);
	jh_rpc_reply_clear(JH_SYNC, &reply);
}

static void
measure(struct pull *p, unsigned int changed)
{
	unsigned int repeats = changed < 1000 ? 200 : 2;
	struct cost rpc;

	p->known_revision = REVISION - changed;
	cost_print("sync", changed, "pull in memory",
	    cost_measure(COST_THREAD, pull_in_memory, p, repeats), -1);
	cost_print("sync", changed, "  sealed bytes, both ways",
	    (struct cost){0}, (double)p->wire_bytes);
	rpc = cost_measure(COST_THREAD, pull_by_rpc, p, repeats);
	cost_print("sync", changed, "pull by RPC, puller", rpc, -1);
	rpc = cost_measure(COST_PROCESS, pull_by_rpc, p, repeats);
	cost_print("sync", changed, "pull by RPC, both ends", rpc, -1);
}

void
cost_sync(uint64_t seed)
{
	static const struct jh_rpc_handler handlers[] = {{JH_SYNC, serve}, {0}};
	static const unsigned int changed[] = {0, 1, 10, 100, REVISION};
	struct sockaddr_in listen = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct pull p = {0};
	struct jh_rpc_server *s;
	size_t i;

	jh_auth_random(p.key.bytes, sizeof(p.key.bytes));
	p.from = cost_catalog_fill(ORGS);
	p.to = cost_catalog_fill(ORGS);
	s = jh_rpc_server_create(&listen, &p.key, handlers, &p, NULL);
	p.server = listen;
	p.server.sin_port = htons((uint16_t)jh_rpc_server_port(s));
	for (i = 0; i < G_N_ELEMENTS(changed); i++)
		measure(&p, changed[i]);
	if (p.failed != 0)
		printf("sync: %u pulls failed\n", p.failed);
	jh_rpc_server_destroy(s);
	jh_catalog_destroy(p.from);
	jh_catalog_destroy(p.to);
}
