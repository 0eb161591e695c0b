#ifndef MEMBER_DUTY_H
#define MEMBER_DUTY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

/*
 * A duty that one process at a time performs, held through one object of the
 * store. No wall clock is compared: the holder counts from the moment at which
 * it sent its last renewal, and others take over when the object has not
 * changed for a term of their own clock. The clock must also run while the
 * machine is suspended.
 *
 * Pure; the caller carries out the actions and reports each result once. Times
 * are microseconds of that clock.
 */
struct jh_duty;

struct jh_duty_spec {
	const char *holder; /* unique to this start of the process */
	uint64_t hold; /* a renewal lets the holder act for this long */
	uint64_t renew; /* the holder renews this often */
	uint64_t look; /* others read this often */
	/*
	 * Others take over when the object has not changed for this long: hold,
	 * and the time that must lie between the acts of two holders.
	 */
	uint64_t takeover;
};

enum jh_duty_action_kind { JH_DUTY_READ, JH_DUTY_CREATE, JH_DUTY_WRITE };

struct jh_duty_action {
	enum jh_duty_action_kind kind;
	uint64_t if_version; /* WRITE */
	const char *holder; /* CREATE and WRITE: what the object states */
	uint64_t term; /* CREATE and WRITE: rises with each write */
	uint64_t deadline; /* of the call */
};

/* What the store said. */
struct jh_duty_reply {
	enum jh_store_result result;
	uint64_t version; /* of the object; 0: absent */
	struct jh_str holder;
	uint64_t term;
};

struct jh_duty *jh_duty_create(const struct jh_duty_spec *spec);
void jh_duty_destroy(struct jh_duty *d);

/* Gives the next call to the store, if one is due and none is in progress. */
bool jh_duty_next(struct jh_duty *d, uint64_t now, struct jh_duty_action *out);
void jh_duty_on_reply(
    struct jh_duty *d, uint64_t now, const struct jh_duty_reply *reply);

/*
 * The fencing token if the duty is held at this moment, or 0. It is the same
 * during one tenure and higher in each later one. Ask before each act.
 */
uint64_t jh_duty_token(const struct jh_duty *d, uint64_t now);
/* Stops renewing; the tenure ends by itself. */
void jh_duty_resign(struct jh_duty *d);

#endif
