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
 * The acts of two holders must lie some time apart. The object therefore says
 * how long others must rest before they act: a holder that may act writes the
 * whole time, and one that does not act what is left of it since its last act.
 * A holder that stops releases the object, so that nothing but that rest is
 * waited for.
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
	uint64_t apart; /* least time between the acts of two holders */
	uint64_t transit; /* an act takes effect within this time */
};

enum jh_duty_action_kind { JH_DUTY_READ, JH_DUTY_CREATE, JH_DUTY_WRITE };

struct jh_duty_action {
	enum jh_duty_action_kind kind;
	uint64_t if_version; /* WRITE */
	const char *holder; /* CREATE and WRITE: what the object states */
	uint64_t term; /* CREATE and WRITE: rises with each write */
	uint64_t rest; /* CREATE and WRITE: others wait this long, at least */
	bool released; /* CREATE and WRITE: the holder acts no more */
	uint64_t deadline; /* of the call */
};

/* What the store said. */
struct jh_duty_reply {
	enum jh_store_result result;
	uint64_t version; /* of the object; 0: absent */
	struct jh_str holder;
	uint64_t term;
	uint64_t rest;
	bool released;
};

struct jh_duty *jh_duty_create(const struct jh_duty_spec *spec);
void jh_duty_destroy(struct jh_duty *d);

/* Gives the next call to the store, if one is due and none is in progress. */
bool jh_duty_next(struct jh_duty *d, uint64_t now, struct jh_duty_action *out);
void jh_duty_on_reply(
    struct jh_duty *d, uint64_t now, const struct jh_duty_reply *reply);

/* Whether the duty is held, though perhaps not for acts yet. */
bool jh_duty_held(const struct jh_duty *d, uint64_t now);
/* Who wrote the object last, as far as it is known; NULL: nobody. */
const char *jh_duty_last_holder(const struct jh_duty *d);
/* There is something to do; the holder asks again with jh_duty_token(). */
void jh_duty_want_to_act(struct jh_duty *d, uint64_t now);
/*
 * The fencing token if the holder may act at this moment, or 0. It is the same
 * during one tenure and higher in each later one. Ask before each act.
 */
uint64_t jh_duty_token(const struct jh_duty *d, uint64_t now);
/* An act was sent. */
void jh_duty_acted(struct jh_duty *d, uint64_t now);
/* Acts no more, releases the object and takes no further tenure. */
void jh_duty_resign(struct jh_duty *d);
/* After it: whether the object is still to be released. */
bool jh_duty_bound(const struct jh_duty *d);

#endif
