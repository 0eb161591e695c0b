#ifndef ROUTE_ROUTE_TABLE_H
#define ROUTE_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

/*
 * One version of the routing configuration. It does not change once it is in
 * force, and is reference counted, because requests may outlive the version
 * they started with.
 */
struct jh_route_table;

enum jh_route_kind {
	JH_ROUTE_IDEMPOTENT, /* may run more than once */
	JH_ROUTE_NON_IDEMPOTENT, /* runs at most once */
	JH_ROUTE_STREAM /* events; runs at most once unless resumable */
};

/* A service of a route, with its share of the route's requests. */
struct jh_route_share {
	char *service;
	unsigned int weight;
};

struct jh_route {
	char *name;
	char *host;
	char *prefix; /* of the path; begins and ends with a slash */
	enum jh_route_kind kind;
	uint64_t timeout; /* microseconds from arrival to the last byte */
	uint64_t target; /* microseconds to the response or the first event */
	uint64_t max_event_gap; /* longest time between events, microseconds */
	unsigned int rank; /* 0 is the most urgent */
	unsigned int max_runs; /* attempts of a request that may run */
	bool anonymous; /* needs no API key */
	bool resumable; /* another worker may continue a stream */
	GArray *shares; /* struct jh_route_share */
};

struct jh_service {
	char *name;
	bool is_engine;
	uint64_t cache_tokens; /* size of the store, or of one worker's cache */
	bool is_cache_store; /* stores cached prefixes */
	struct sockaddr_in cache_store; /* if is_cache_store */
	char *zone; /* NULL: not known */
	uint64_t link_mbps; /* megabits a second; 0: not known */
	uint64_t token_bytes; /* engines: cache memory of a token; 0: unknown */
};

/* An organisation. */
struct jh_route_org {
	char *name;
	bool has_rank;
	unsigned int rank; /* overrides the route's */
	/* Set by jh_route_table_isolate_org(). */
	bool isolated; /* shares no cached prefix with other organisations */
	uint64_t hash; /* of the name */
	/* What all processes together may admit; 0: no limit. */
	double quota_per_second;
	double quota_burst;
	bool quota_in_tokens; /* else in requests */
	double uncounted_tokens; /* of a request that does not state its own */
};

/*
 * Who shares cached prefixes: requests whose scopes are the same. An isolated
 * organisation has a scope of its own. That of all others depends on which ones
 * are isolated, so that they never find what an organisation left before it
 * became isolated, though no process remembers it.
 */
struct jh_cache_scope {
	const char *org; /* isolated; NULL: the scope of all others */
	uint64_t hash; /* never the same for two scopes, but by chance */
};

/* What a client may send, and how long it may take; see net/server.h. */
struct jh_route_table_limits {
	uint64_t head_bytes;
	uint64_t body_bytes;
	uint64_t head_usec;
	uint64_t idle_usec;
};

struct jh_route_table *jh_route_table_create(uint64_t version);
struct jh_route_table *jh_route_table_ref(struct jh_route_table *t);
void jh_route_table_unref(struct jh_route_table *t);

uint64_t jh_route_table_version(const struct jh_route_table *t);
struct jh_route_table_limits *jh_route_table_limits(struct jh_route_table *t);
const struct jh_route_table_limits *jh_route_table_limits_of(
    const struct jh_route_table *t);

/* Each adds a zeroed element, which the table owns and the caller fills in. */
struct jh_route *jh_route_table_add_route(struct jh_route_table *t);
struct jh_service *jh_route_table_add_service(
    struct jh_route_table *t, const char *name);
struct jh_route_org *jh_route_table_add_org(
    struct jh_route_table *t, const char *name);
/* Called once at most for an organisation. */
void jh_route_table_isolate_org(
    struct jh_route_table *t, struct jh_route_org *org);
void jh_route_table_add_key(
    struct jh_route_table *t, const char *key, struct jh_route_org *org);
void jh_route_add_share(
    struct jh_route *r, const char *service, unsigned int weight);

size_t jh_route_table_count(const struct jh_route_table *t);
/* i is less than jh_route_table_count(). */
const struct jh_route *jh_route_table_route_at(
    const struct jh_route_table *t, size_t i);
void jh_route_table_each_service(const struct jh_route_table *t,
    void (*fn)(void *arg, const struct jh_service *s), void *arg);
void jh_route_table_each_key(const struct jh_route_table *t,
    void (*fn)(void *arg, const char *key, const struct jh_route_org *org),
    void *arg);
/* Keys that were added again for another organisation, which then has them. */
size_t jh_route_table_lost_key_count(const struct jh_route_table *t);
/* An organisation that lost a key so, and the one that has it. */
const struct jh_route_org *jh_route_table_lost_key_at(
    const struct jh_route_table *t, size_t i,
    const struct jh_route_org **holder);
/* Services that replaced one of the same name. */
size_t jh_route_table_replaced_services(const struct jh_route_table *t);
size_t jh_route_table_org_count(const struct jh_route_table *t);
/* i is less than jh_route_table_org_count(). */
const struct jh_route_org *jh_route_table_org_at(
    const struct jh_route_table *t, size_t i);
/* Returns NULL if there is no organisation of that name. */
const struct jh_route_org *jh_route_table_find_org(
    const struct jh_route_table *t, const char *name);
/* org is of the table; NULL: the request has none. */
struct jh_cache_scope jh_route_table_cache_scope(
    const struct jh_route_table *t, const struct jh_route_org *org);
bool jh_route_org_has_quota(const struct jh_route_org *org);
/* Whether requests need an API key unless their route is anonymous. */
bool jh_route_table_has_orgs(const struct jh_route_table *t);
/* The route of the host with the longest prefix of the path, or NULL. */
const struct jh_route *jh_route_table_find_route(
    const struct jh_route_table *t, struct jh_str host, struct jh_str path);
const struct jh_route_org *jh_route_table_find_key(
    const struct jh_route_table *t, struct jh_str key);
const struct jh_service *jh_route_table_find_service(
    const struct jh_route_table *t, const char *name);
/* The first service that stores cached prefixes, or NULL. */
const struct jh_service *jh_route_table_cache_store(
    const struct jh_route_table *t);
/*
 * Takes up to max of them, in order of their names, so that all processes take
 * the same ones. Returns the number taken.
 */
size_t jh_route_table_cache_stores(
    const struct jh_route_table *t, const struct jh_service **out, size_t max);

/* The service for a request with this hash, by the weights, or NULL. */
const char *jh_route_pick_service(const struct jh_route *r, uint64_t hash);
/* Whether a request of the route may run more than once. */
bool jh_route_repeatable(const struct jh_route *r);

#endif
