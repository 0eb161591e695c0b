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
 * Client of the platform's object store. docs/store-protocol.md describes the
 * protocol. All calls are asynchronous. Callbacks run on the client's thread,
 * must not block, and may start further calls.
 */
struct jh_store;

/* Longest value, in bytes. */
#define JH_STORE_VALUE_LIMIT (1024 * 1024)

/* Special values for the version that a write expects (if_version). */
#define JH_STORE_ABSENT 0ULL /* the key must not exist */
#define JH_STORE_ANY UINT64_MAX /* unconditional */

/* Name of a result, for logs and tools. */
const char *jh_store_result_name(enum jh_store_result result);

/* One object of a list, or one change of a watch. */
struct jh_store_item {
	const char *key;
	uint64_t version;
	bool deleted;
	struct jh_str value; /* also NUL-terminated */
};

/* Result of a call; valid only during the callback. */
struct jh_store_reply {
	enum jh_store_result result;
	/* Of the object, if a get or write is OK; on conflict, 0: absent. */
	uint64_t version;
	/* Of the store, for get, list and watch. */
	uint64_t revision;
	struct jh_str value; /* get OK, and conflict; also NUL-terminated */
	const struct jh_store_item *items; /* list and watch */
	size_t n_items;
	bool more; /* list: a next page starts after the last key */
	/*
	 * List and watch: the store executed the call, but its response was too
	 * large, took too long or can't be read. The result is
	 * JH_STORE_UNAVAILABLE.
	 */
	bool unusable;
};

/* Function to call on completion of a call, and its argument. */
struct jh_store_callback {
	void (*fn)(void *arg, const struct jh_store_reply *reply);
	void *arg;
};

/* At most max_calls calls, watches included, are in progress at a time. */
struct jh_store *jh_store_create(
    const struct sockaddr_in *peer, unsigned int max_calls);
/* Aborts the calls in progress; all callbacks have run when it returns. */
void jh_store_destroy(struct jh_store *s);

/*
 * Each of these starts a call. They return false, without a callback, if
 * max_calls is reached or the key is malformed (empty, or with a "", "." or
 * ".." segment). The deadline, a jh_now() time, is that of the whole call.
 */
bool jh_store_get(struct jh_store *s, const char *key, uint64_t deadline,
    struct jh_store_callback done) G_GNUC_WARN_UNUSED_RESULT;
bool jh_store_put(struct jh_store *s, const char *key, struct jh_str value,
    uint64_t if_version, uint64_t deadline,
    struct jh_store_callback done) G_GNUC_WARN_UNUSED_RESULT;
bool jh_store_delete(struct jh_store *s, const char *key, uint64_t if_version,
    uint64_t deadline, struct jh_store_callback done) G_GNUC_WARN_UNUSED_RESULT;
/*
 * prefixes are separated by commas. after is the last key of the page before,
 * or
 * "" for the first page.
 */
bool jh_store_list(struct jh_store *s, const char *prefixes, const char *after,
    unsigned int limit, uint64_t deadline,
    struct jh_store_callback done) G_GNUC_WARN_UNUSED_RESULT;
/*
 * Replies with the changes after revision from, or without any after wait_ms
 * milliseconds. The deadline must be later than the end of that wait.
 */
bool jh_store_watch(struct jh_store *s, const char *prefixes, uint64_t from,
    unsigned int wait_ms, uint64_t deadline,
    struct jh_store_callback done) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Writes a JSON object whose string "nonce" identifies the write. If the reply
 * to the write is lost, reads the object back and compares the nonce, and
 * writes again if needed. OK: the object in the store is that of this call.
 * CONFLICT: it is another one, and the write of this call cannot take effect
 * any more. UNKNOWN: the outcome is still not known at the deadline or after
 * the last attempt. if_version must not be JH_STORE_ANY.
 */
bool jh_store_put_nonce(struct jh_store *s, const char *key,
    struct jh_str value, const char *nonce, uint64_t if_version,
    uint64_t deadline, struct jh_store_callback done) G_GNUC_WARN_UNUSED_RESULT;

/* Whether value is a JSON object with this nonce. */
bool jh_store_value_has_nonce(struct jh_str value, const char *nonce);

/*
 * Lets a thread wait for one call, in tools and tests. Start the call with the
 * callback of jh_store_waiter_callback(). The reply of jh_store_waiter_wait()
 * is valid until the waiter is destroyed. Never wait on the client's own
 * thread, and destroy a waiter only if its call was not started or has been
 * waited for.
 */
struct jh_store_waiter;
struct jh_store_waiter *jh_store_waiter_create(void);
struct jh_store_callback jh_store_waiter_callback(struct jh_store_waiter *w);
const struct jh_store_reply *jh_store_waiter_wait(struct jh_store_waiter *w);
void jh_store_waiter_destroy(struct jh_store_waiter *w);

#endif
