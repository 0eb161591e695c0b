#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

/*
 * Client of the platform's object store; docs/store-protocol.md has the
 * protocol. All calls are asynchronous. Callbacks run on the client's thread,
 * must not block, and may start further calls.
 */
struct jh_store;

/* Longest value, in bytes. */
#define JH_STORE_VALUE_LIMIT (1024 * 1024)

/* Conditions of a write: the version it expects. */
#define JH_STORE_ABSENT 0ULL /* the key must not exist */
#define JH_STORE_ANY UINT64_MAX /* unconditional */

/* A word for logs and tools. */
const char *jh_store_result_name(enum jh_store_result result);

/* One object of a list, or one change of a watch. */
struct jh_store_item {
	const char *key;
	uint64_t version;
	bool deleted;
	struct jh_str value; /* also NUL-terminated */
};

/* Valid during the callback only. */
struct jh_store_reply {
	enum jh_store_result result;
	/* Of the object: get and write ok; conflict, 0 when it is absent. */
	uint64_t version;
	/* Of the store: get, list and watch. */
	uint64_t revision;
	struct jh_str value; /* get ok, and conflict; also NUL-terminated */
	const struct jh_store_item *items; /* list and watch */
	size_t n_items;
	bool more; /* list: continue after the last item's key */
};

struct jh_store_done {
	void (*fn)(void *arg, const struct jh_store_reply *reply);
	void *arg;
};

/* At most max_calls calls, watches included, run at one time. */
struct jh_store *jh_store_create(
    const struct sockaddr_in *peer, unsigned int max_calls);
/* Ends what runs; every callback has run when this returns. */
void jh_store_destroy(struct jh_store *s);

/*
 * Each of these returns false, and calls nothing, when max_calls is reached or
 * the key is malformed (empty, or with a "", "." or ".." segment). Deadlines
 * are jh_now() times of the whole call.
 */
bool jh_store_get(struct jh_store *s, const char *key, uint64_t deadline,
    struct jh_store_done done) G_GNUC_WARN_UNUSED_RESULT;
bool jh_store_put(struct jh_store *s, const char *key, struct jh_str value,
    uint64_t if_version, uint64_t deadline,
    struct jh_store_done done) G_GNUC_WARN_UNUSED_RESULT;
bool jh_store_delete(struct jh_store *s, const char *key, uint64_t if_version,
    uint64_t deadline, struct jh_store_done done) G_GNUC_WARN_UNUSED_RESULT;
/* Prefixes are separated by commas; after is "" for the first page. */
bool jh_store_list(struct jh_store *s, const char *prefixes, const char *after,
    unsigned int limit, uint64_t deadline,
    struct jh_store_done done) G_GNUC_WARN_UNUSED_RESULT;
/* The deadline must lie beyond the wait. */
bool jh_store_watch(struct jh_store *s, const char *prefixes, uint64_t from,
    unsigned int wait_ms, uint64_t deadline,
    struct jh_store_done done) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Writes an object that carries its writer's nonce (a JSON object with the
 * string "nonce") and settles a lost answer by reading back. OK: the object is
 * this write's. CONFLICT: another write stands there, and this one will not
 * take effect later. UNKNOWN: not settled before the deadline. The condition
 * must not be JH_STORE_ANY.
 */
bool jh_store_put_nonce(struct jh_store *s, const char *key,
    struct jh_str value, const char *nonce, uint64_t if_version,
    uint64_t deadline, struct jh_store_done done) G_GNUC_WARN_UNUSED_RESULT;

/* Whether a value is a JSON object whose "nonce" is this one. */
bool jh_store_value_has_nonce(struct jh_str value, const char *nonce);

/*
 * Waits for one call. Start it with jh_store_waiter_done(); the reply of
 * jh_store_waiter_wait() stays valid until the waiter is destroyed. For tools
 * and tests; never wait on the client's own thread. Destroy a waiter only
 * after its call was refused or has been waited for.
 */
struct jh_store_waiter;
struct jh_store_waiter *jh_store_waiter_create(void);
struct jh_store_done jh_store_waiter_done(struct jh_store_waiter *w);
const struct jh_store_reply *jh_store_waiter_wait(struct jh_store_waiter *w);
void jh_store_waiter_destroy(struct jh_store_waiter *w);

#endif
