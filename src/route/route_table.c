#include <string.h>

#include <xxhash.h>

#include "route/route_table.h"

/* Keeps the hash of the shared scope apart from those of organisations. */
#define SHARED_SCOPE_SEED 1

struct jh_route_table {
	unsigned int refs;
	uint64_t version;
	GPtrArray *routes; /* struct jh_route */
	GHashTable *services; /* by name */
	GPtrArray *orgs; /* struct jh_route_org */
	GHashTable *keys; /* API key to struct jh_route_org */
	GArray *lost_keys; /* struct lost_key */
	size_t replaced_services;
	/* Of the isolated ones; does not depend on their order. */
	uint64_t isolated_hash;
	struct jh_route_table_limits limits;
};

/* A key that two organisations have. */
struct lost_key {
	const struct jh_route_org *loser, *holder;
};

static void
free_route(void *p)
{
	struct jh_route *r = p;
	guint i;

	for (i = 0; i < r->shares->len; i++)
		g_free(
		    g_array_index(r->shares, struct jh_route_share, i).service);
	g_array_free(r->shares, TRUE);
	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_free(r);
}

static void
free_service(void *p)
{
	struct jh_service *s = p;

	g_free(s->name);
	g_free(s->zone);
	g_free(s);
}

static void
free_org(void *p)
{
	struct jh_route_org *t = p;

	g_free(t->name);
	g_free(t);
}

struct jh_route_table *
jh_route_table_create(uint64_t version)
{
	struct jh_route_table *t = g_new0(struct jh_route_table, 1);

	t->refs = 1;
	t->version = version;
	t->routes = g_ptr_array_new_with_free_func(free_route);
	t->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
	t->orgs = g_ptr_array_new_with_free_func(free_org);
	t->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->lost_keys = g_array_new(FALSE, FALSE, sizeof(struct lost_key));
	return t;
}

struct jh_route_table *
jh_route_table_ref(struct jh_route_table *t)
{
	t->refs++;
	return t;
}

void
jh_route_table_unref(struct jh_route_table *t)
{
	if (t == NULL || --t->refs > 0)
		return;
	g_ptr_array_free(t->routes, TRUE);
	g_hash_table_destroy(t->services);
	g_hash_table_destroy(t->keys);
	g_array_free(t->lost_keys, TRUE);
	g_ptr_array_free(t->orgs, TRUE);
	g_free(t);
}

uint64_t
jh_route_table_version(const struct jh_route_table *t)
{
	return t->version;
}

struct jh_route_table_limits *
jh_route_table_limits(struct jh_route_table *t)
{
	return &t->limits;
}

const struct jh_route_table_limits *
jh_route_table_limits_of(const struct jh_route_table *t)
{
	return &t->limits;
}

struct jh_route *
jh_route_table_add_route(struct jh_route_table *t)
{
	struct jh_route *r = g_new0(struct jh_route, 1);

	r->shares = g_array_new(FALSE, TRUE, sizeof(struct jh_route_share));
	g_ptr_array_add(t->routes, r);
	return r;
}

struct jh_service *
jh_route_table_add_service(struct jh_route_table *t, const char *name)
{
	struct jh_service *s = g_new0(struct jh_service, 1);

	s->name = g_strdup(name);
	if (!g_hash_table_replace(t->services, s->name, s))
		t->replaced_services++;
	return s;
}

struct jh_route_org *
jh_route_table_add_org(struct jh_route_table *t, const char *name)
{
	struct jh_route_org *n = g_new0(struct jh_route_org, 1);

	n->name = g_strdup(name);
	n->hash = XXH3_64bits(name, strlen(name));
	g_ptr_array_add(t->orgs, n);
	return n;
}

void
jh_route_table_isolate_org(struct jh_route_table *t, struct jh_route_org *org)
{
	org->isolated = true;
	t->isolated_hash += XXH3_64bits_withSeed(
	    org->name, strlen(org->name), SHARED_SCOPE_SEED);
}

void
jh_route_table_add_key(
    struct jh_route_table *t, const char *key, struct jh_route_org *org)
{
	struct lost_key lost = {g_hash_table_lookup(t->keys, key), org};

	if (lost.loser != NULL && lost.loser != org)
		g_array_append_val(t->lost_keys, lost);
	g_hash_table_replace(t->keys, g_strdup(key), org);
}

void
jh_route_add_share(struct jh_route *r, const char *service, unsigned int weight)
{
	struct jh_route_share s = {g_strdup(service), weight};

	g_array_append_val(r->shares, s);
}

size_t
jh_route_table_count(const struct jh_route_table *t)
{
	return t->routes->len;
}

const struct jh_route *
jh_route_table_route_at(const struct jh_route_table *t, size_t i)
{
	return g_ptr_array_index(t->routes, i);
}

void
jh_route_table_each_service(const struct jh_route_table *t,
    void (*fn)(void *arg, const struct jh_service *s), void *arg)
{
	GHashTableIter it;
	gpointer service;

	g_hash_table_iter_init(&it, t->services);
	while (g_hash_table_iter_next(&it, NULL, &service))
		fn(arg, service);
}

void
jh_route_table_each_key(const struct jh_route_table *t,
    void (*fn)(void *arg, const char *key, const struct jh_route_org *org),
    void *arg)
{
	GHashTableIter it;
	gpointer key, org;

	g_hash_table_iter_init(&it, t->keys);
	while (g_hash_table_iter_next(&it, &key, &org))
		fn(arg, key, org);
}

size_t
jh_route_table_lost_key_count(const struct jh_route_table *t)
{
	return t->lost_keys->len;
}

const struct jh_route_org *
jh_route_table_lost_key_at(const struct jh_route_table *t, size_t i,
    const struct jh_route_org **holder)
{
	const struct lost_key *k =
	    &g_array_index(t->lost_keys, struct lost_key, i);

	*holder = k->holder;
	return k->loser;
}

size_t
jh_route_table_replaced_services(const struct jh_route_table *t)
{
	return t->replaced_services;
}

size_t
jh_route_table_org_count(const struct jh_route_table *t)
{
	return t->orgs->len;
}

const struct jh_route_org *
jh_route_table_org_at(const struct jh_route_table *t, size_t i)
{
	return g_ptr_array_index(t->orgs, i);
}

const struct jh_route_org *
jh_route_table_find_org(const struct jh_route_table *t, const char *name)
{
	guint i;

	for (i = 0; i < t->orgs->len; i++) {
		const struct jh_route_org *org = g_ptr_array_index(t->orgs, i);
		if (strcmp(org->name, name) == 0)
			return org;
	}
	return NULL;
}

struct jh_cache_scope
jh_route_table_cache_scope(
    const struct jh_route_table *t, const struct jh_route_org *org)
{
	if (org != NULL && org->isolated)
		return (struct jh_cache_scope){org->name, org->hash};
	return (struct jh_cache_scope){NULL, t->isolated_hash};
}

bool
jh_route_org_has_quota(const struct jh_route_org *org)
{
	return org->quota_per_second > 0 && org->quota_burst > 0;
}

bool
jh_route_table_has_orgs(const struct jh_route_table *t)
{
	return t->orgs->len > 0;
}

static struct jh_str
without_port(struct jh_str host)
{
	const char *colon = memchr(host.ptr, ':', host.len);

	if (colon != NULL)
		host.len = (size_t)(colon - host.ptr);
	return host;
}

const struct jh_route *
jh_route_table_find_route(
    const struct jh_route_table *t, struct jh_str host, struct jh_str path)
{
	const struct jh_route *best = NULL;
	size_t best_len = 0;
	guint i;

	if (host.ptr == NULL)
		return NULL;
	host = without_port(host);
	for (i = 0; i < t->routes->len; i++) {
		const struct jh_route *r = g_ptr_array_index(t->routes, i);
		size_t n = strlen(r->prefix);
		if (n <= best_len || n > path.len)
			continue;
		if (memcmp(r->prefix, path.ptr, n) != 0)
			continue;
		if (strlen(r->host) != host.len ||
		    g_ascii_strncasecmp(r->host, host.ptr, host.len) != 0)
			continue;
		best = r;
		best_len = n;
	}
	return best;
}

const struct jh_route_org *
jh_route_table_find_key(const struct jh_route_table *t, struct jh_str key)
{
	const struct jh_route_org *n;
	char *copy;

	if (key.ptr == NULL)
		return NULL;
	copy = jh_str_dup(key);
	n = g_hash_table_lookup(t->keys, copy);
	g_free(copy);
	return n;
}

const struct jh_service *
jh_route_table_find_service(const struct jh_route_table *t, const char *name)
{
	return g_hash_table_lookup(t->services, name);
}

const struct jh_service *
jh_route_table_cache_store(const struct jh_route_table *t)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct jh_service *s = value;
		if (s->is_cache_store)
			return s;
	}
	return NULL;
}

static int
compare_names(const void *a, const void *b)
{
	const struct jh_service *const *s = a, *const *t = b;

	return strcmp((*s)->name, (*t)->name);
}

size_t
jh_route_table_cache_stores(
    const struct jh_route_table *t, const struct jh_service **out, size_t max)
{
	GPtrArray *stores = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;
	size_t n, i;

	g_hash_table_iter_init(&it, t->services);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (((const struct jh_service *)value)->is_cache_store)
			g_ptr_array_add(stores, value);
	g_ptr_array_sort(stores, compare_names);
	n = MIN(stores->len, max);
	for (i = 0; i < n; i++)
		out[i] = g_ptr_array_index(stores, i);
	g_ptr_array_free(stores, TRUE);
	return n;
}

const char *
jh_route_pick_service(const struct jh_route *r, uint64_t hash)
{
	uint64_t total = 0, at;
	guint i;

	for (i = 0; i < r->shares->len; i++)
		total +=
		    g_array_index(r->shares, struct jh_route_share, i).weight;
	if (total == 0)
		return NULL;
	at = hash % total;
	for (i = 0; i < r->shares->len; i++) {
		const struct jh_route_share *s =
		    &g_array_index(r->shares, struct jh_route_share, i);
		if (at < s->weight)
			return s->service;
		at -= s->weight;
	}
	return NULL;
}

bool
jh_route_repeatable(const struct jh_route *r)
{
	switch (r->kind) {
	case JH_ROUTE_IDEMPOTENT:
		return true;
	case JH_ROUTE_NON_IDEMPOTENT:
		return false;
	case JH_ROUTE_STREAM:
		return r->resumable;
	}
	return false;
}
