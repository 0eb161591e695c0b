#ifndef JACINTHHILL_LEASE_H
#define JACINTHHILL_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * One lease, an object leases/<name> held by conditional updates. The fencing
 * token is the object's version. Pure: the caller carries out the actions and
 * reports each result exactly once. Times in the object are wall-clock
 * microseconds, so all times here are too (jh_wall_now()).
 */
struct jh_lease;

/*
 * Clocks of instances differ by less than this. The holder acts only until its
 * deadline less the margin, and others take over only after the deadline plus
 * the margin.
 */
#define JH_LEASE_MARGIN_USEC 2000000ULL

enum jh_lease_action_kind {
	JH_LEASE_READ, /* get the object */
	JH_LEASE_WRITE /* put value on condition of if_version (0: absent) */
};

struct jh_lease_action {
	enum jh_lease_action_kind kind;
	const char *key;
	uint64_t if_version;
	struct jh_str value; /* valid until the next call on the lease */
	uint64_t deadline; /* of the call; a wall-clock time */
};

/* As enum jh_store_result says; the rest of that enum counts as FAILED.
 */
enum jh_lease_result {
	JH_LEASE_OK,
	JH_LEASE_NOT_FOUND,
	JH_LEASE_CONFLICT,
	JH_LEASE_FAILED, /* nothing can have taken effect */
	JH_LEASE_UNKNOWN /* the write may have taken effect, or may yet */
};

struct jh_lease_spec {
	const char *name; /* of the duty */
	const char *holder; /* instance */
	uint64_t incarnation;
	uint64_t term_usec; /* over 3 times the margin */
	GRand *rand; /* nonces and jitter; must outlive the lease */
};

struct jh_lease *jh_lease_create(const struct jh_lease_spec *spec);
void jh_lease_destroy(struct jh_lease *l);

/* Starts to acquire and then keep the lease, or to give it up. */
void jh_lease_want(struct jh_lease *l, bool wanted);

/* Gives the next call to the store, if one is due and none is in progress. */
bool jh_lease_next(
    struct jh_lease *l, uint64_t now, struct jh_lease_action *out);
/* When jh_lease_next() is due again without an event; JH_NEVER: idle. */
uint64_t jh_lease_wake(const struct jh_lease *l);
/*
 * The call has ended. version and value are those of the object: after OK of
 * either kind (value: of a read), and after CONFLICT (version 0: absent).
 */
void jh_lease_on_result(struct jh_lease *l, uint64_t now,
    enum jh_lease_result result, uint64_t version, struct jh_str value);

/*
 * The fencing token if the lease is held and now is before its deadline less
 * the margin, or else 0. Ask before each act.
 */
uint64_t jh_lease_token(const struct jh_lease *l, uint64_t now);
/* Until when jh_lease_token() can give the present token; 0: not held. */
uint64_t jh_lease_safe_until(const struct jh_lease *l);
/* Whether nothing is held, wanted or in progress. */
bool jh_lease_is_idle(const struct jh_lease *l);

#endif
