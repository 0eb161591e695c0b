#include <stdio.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/catalog.h>

#include "base/auth.h"
#include "cost.h"
#include "cost_catalog.h"

#define LOOKUPS 20000

struct lookups {
	struct jh_catalog *catalog;
	unsigned int orgs;
};

void
cost_catalog_put(struct jh_catalog *c, unsigned int org, unsigned int class,
    uint64_t version)
{
	char key[80], json[512];

	snprintf(key, sizeof(key), "catalog/org-%05u/class-%u", org, class);
	snprintf(json, sizeof(json),
	    "{\"owner\":\"org-%05u\",\"class\":\"class-%u\","
	    "\"kind\":\"chat\",\"rank\":\"background\","
	    "\"rank_ceiling\":\"urgent\",\"models\":[\"large\",\"small\"],"
	    "\"cost_tokens_per_second\":20000,\"concurrent_requests\":100,"
	    "\"floor_percent\":10,\"idempotent\":true,"
	    "\"ttft_target_ms\":1000,\"region_shares\":["
	    "{\"region\":\"mtl\",\"percent\":70},"
	    "{\"region\":\"qc\",\"percent\":30}]}",
	    org, class);
	jh_catalog_merge(c, key, version, json);
}

static void
put_org(struct jh_catalog *c, unsigned int org, uint64_t version)
{
	char key[80], json[256], hash[JH_AUTH_HASH_HEX_LEN + 1];

	snprintf(key, sizeof(key), "orgs/org-%05u", org);
	jh_auth_hash_hex(jh_str_from(key), hash);
	snprintf(json, sizeof(json),
	    "{\"name\":\"org-%05u\",\"display_name\":\"Organisation %u\","
	    "\"key_hashes\":[\"%s\"]}",
	    org, org, hash);
	jh_catalog_merge(c, key, version, json);
}

struct jh_catalog *
cost_catalog_fill(unsigned int orgs)
{
	struct jh_catalog *c = jh_catalog_create();
	unsigned int o, k;
	uint64_t version = 0;

	for (o = 0; o < orgs; o++) {
		put_org(c, o, ++version);
		for (k = 0; k < COST_CLASSES; k++)
			cost_catalog_put(c, o, k, ++version);
	}
	jh_catalog_advance(c, version);
	return c;
}

static void
look_up(void *arg, uint64_t i)
{
	struct lookups *l = arg;
	char org[32];

	snprintf(
	    org, sizeof(org), "org-%05u", (unsigned int)(i * 7919 % l->orgs));
	jh_catalog_entry_unref(
	    jh_catalog_find_entry(l->catalog, org, "class-2"));
}

static void
edit(void *arg, uint64_t i)
{
	struct lookups *l = arg;

	cost_catalog_put(l->catalog, (unsigned int)(i * 7919 % l->orgs), 3,
	    l->orgs * (COST_CLASSES + 1) + i + 1);
}

void
cost_catalog(uint64_t seed)
{
	static const unsigned int sizes[] = {500, 1300, 2600};
	struct jh_catalog_stats stats;
	struct lookups l;
	size_t i, before;
	double heap;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		before = cost_heap();
		l = (struct lookups){cost_catalog_fill(sizes[i]), sizes[i]};
		heap = (double)(cost_heap() - before);
		jh_catalog_stats(l.catalog, &stats);
		if (stats.invalid != 0)
			printf("catalog: %zu invalid objects\n", stats.invalid);
		cost_print("catalog", sizes[i], "find entry, heap of copy",
		    cost_measure(COST_THREAD, look_up, &l, LOOKUPS), heap);
		cost_print("catalog", sizes[i], "merge edit, own estimate",
		    cost_measure(COST_THREAD, edit, &l, LOOKUPS / 20),
		    (double)stats.bytes);
		jh_catalog_destroy(l.catalog);
	}
}
