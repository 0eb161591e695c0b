#ifndef JACINTHHILL_LEASE_H
#define JACINTHHILL_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * One lease, which is kept in the object leases/<name> by conditional updates.
 * The fencing token is the object's version. Does no I/O: the caller makes the
 * calls to the store and reports each result exactly once. Times in the object
 * are wall-clock microseconds, so all times here are too (jh_wall_now()). Not
 * thread safe.
 */
struct jh_lease;

/*
 * Clocks of instances differ by less than this. The holder acts only until its
 * deadline minus the margin, and others take over only after the deadline plus
 * the margin.
 */
#define JH_LEASE_MARGIN_USEC 2000000ULL

enum jh_lease_action_kind {
	JH_LEASE_READ, /* read the object */
	JH_LEASE_WRITE /* write if the version is if_version (0: absent) */
};

struct jh_lease_action {
	enum jh_lease_action_kind kind;
	const char *key;
	uint64_t if_version;
	struct jh_str value; /* valid until the next call on the lease */
	uint64_t deadline; /* of the call, wall clock */
};

/* As in enum jh_store_result, whose other values count as FAILED. */
enum jh_lease_result {
	JH_LEASE_OK,
	JH_LEASE_NOT_FOUND,
	JH_LEASE_CONFLICT,
	JH_LEASE_FAILED, /* nothing has taken or will take effect */
	JH_LEASE_UNKNOWN /* the write may have taken effect, or may later */
};

struct jh_lease_spec {
	const char *name; /* of the object, after leases/ */
	const char *holder; /* the instance */
	uint64_t incarnation;
	uint64_t term_usec; /* validity; over 3 times the margin */
	GRand *rand; /* for nonces and jitter; must outlive the lease */
};

struct jh_lease *jh_lease_create(const struct jh_lease_spec *spec);
void jh_lease_destroy(struct jh_lease *l);

/* Whether to acquire and then renew the lease, or to release it. */
void jh_lease_want(struct jh_lease *l, bool wanted);

/*
 * Returns whether a call to the store is due and none is in progress, and fills
 * out.
 */
bool jh_lease_next(
    struct jh_lease *l, uint64_t now, struct jh_lease_action *out);
/*
 * When to call jh_lease_next() again if nothing else happens before; JH_NEVER
 * while a call is in progress or the lease is idle.
 */
uint64_t jh_lease_wake(const struct jh_lease *l);
/*
 * Reports the result of a call. version and value are those of the object:
 * after OK of a read, and after CONFLICT (version 0: absent). After OK of a
 * write only version is used.
 */
void jh_lease_on_result(struct jh_lease *l, uint64_t now,
    enum jh_lease_result result, uint64_t version, struct jh_str value);

/*
 * The fencing token if the lease is held, is still wanted, and now is before
 * its deadline minus the margin, or else 0. Call it before each action.
 */
uint64_t jh_lease_token(const struct jh_lease *l, uint64_t now);
/* When jh_lease_token() stops returning the present token; 0: no token. */
uint64_t jh_lease_safe_until(const struct jh_lease *l);
/* Whether it is neither held nor wanted, and no call is open or in doubt. */
bool jh_lease_is_idle(const struct jh_lease *l);

#endif
