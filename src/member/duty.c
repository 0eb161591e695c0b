#include <string.h>

#include <glib.h>

#include "member/duty.h"

/* A call to the store that takes longer is given up. */
#define CALL_USEC 800000ULL

struct jh_duty {
	struct jh_duty_spec spec;
	char *holder;
	bool resigned;
	bool in_call;
	bool writing;
	uint64_t call_sent;
	uint64_t next; /* no call before */
	/* The object as it was last seen. */
	bool seen;
	uint64_t version; /* 0: absent */
	char *last_holder; /* NULL: absent */
	uint64_t term;
	uint64_t rest;
	bool released;
	bool own; /* written by this process, perhaps without an answer */
	uint64_t unchanged_since;
	/* The present tenure. */
	uint64_t token; /* 0: not the holder */
	uint64_t held_until;
	uint64_t last_act; /* 0: none in this tenure */
	uint64_t wanted; /* when an act was last wanted; 0: never */
	bool write_acting; /* the write in progress allows acts */
	bool may_act; /* the object allows acts until held_until */
};

/* A holder that had nothing to do for this long becomes idle. */
#define IDLE_USEC 1000000ULL

struct jh_duty *
jh_duty_create(const struct jh_duty_spec *spec)
{
	struct jh_duty *d = g_new0(struct jh_duty, 1);

	d->spec = *spec;
	d->holder = g_strdup(spec->holder);
	d->spec.holder = d->holder;
	return d;
}

void
jh_duty_destroy(struct jh_duty *d)
{
	if (d == NULL)
		return;
	g_free(d->holder);
	g_free(d->last_holder);
	g_free(d);
}

static bool
may_take_over(const struct jh_duty *d, uint64_t now)
{
	uint64_t wait = d->rest;

	if (!d->seen || d->resigned)
		return false;
	if (d->version == 0 || d->own)
		return true;
	if (!d->released)
		wait += d->spec.hold;
	return now - d->unchanged_since >= wait;
}

static bool
wants_to_act(const struct jh_duty *d, uint64_t now)
{
	return !d->resigned && d->wanted != 0 && now - d->wanted < IDLE_USEC;
}

/* Whether a renewal is due before its turn. */
static bool
is_urgent(const struct jh_duty *d, uint64_t now)
{
	if (d->token == 0)
		return false;
	return d->resigned || (wants_to_act(d, now) && !d->may_act);
}

/* How long others must rest after a write of this holder. */
static uint64_t
rest_after(const struct jh_duty *d, uint64_t now, bool acting)
{
	uint64_t whole = d->spec.apart + d->spec.transit;
	uint64_t past = now - d->last_act;

	if (acting)
		return whole;
	if (d->last_act == 0 || past >= whole)
		return 0;
	return whole - past;
}

bool
jh_duty_next(struct jh_duty *d, uint64_t now, struct jh_duty_action *out)
{
	bool renew = d->token != 0;

	if (d->in_call || (now < d->next && !is_urgent(d, now)))
		return false;
	memset(out, 0, sizeof(*out));
	out->kind = JH_DUTY_READ;
	if (renew || may_take_over(d, now)) {
		out->kind = d->version == 0 ? JH_DUTY_CREATE : JH_DUTY_WRITE;
		out->if_version = d->version;
		out->holder = d->holder;
		out->term = d->term + 1;
		d->write_acting = renew && wants_to_act(d, now);
		out->rest = rest_after(d, now, d->write_acting);
		out->released = d->resigned;
	}
	out->deadline = now + CALL_USEC;
	d->in_call = true;
	d->writing = out->kind != JH_DUTY_READ;
	d->call_sent = now;
	return true;
}

static bool
is_own(const struct jh_duty *d, const struct jh_duty_reply *reply)
{
	return reply->version != 0 &&
	       jh_str_eq(reply->holder, jh_str_from(d->holder));
}

/* Takes over what the store says of the object. */
static void
see(struct jh_duty *d, uint64_t now, const struct jh_duty_reply *reply)
{
	if (d->seen && reply->version == d->version)
		return;
	/* A stale read may show an older object than the one known. */
	if (d->seen && reply->version != 0 && reply->version < d->version)
		return;
	d->seen = true;
	d->version = reply->version;
	g_free(d->last_holder);
	d->last_holder = reply->version != 0 ? jh_str_dup(reply->holder) : NULL;
	d->term = reply->term;
	d->rest = reply->rest;
	d->released = reply->released;
	d->own = is_own(d, reply);
	d->unchanged_since = now;
}

static void
written(struct jh_duty *d, const struct jh_duty_reply *reply)
{
	/* The tenure's token must not rise while its orders are on the way. */
	if (d->resigned) {
		d->token = 0;
		return;
	}
	if (d->token == 0) {
		d->token = reply->version;
		d->last_act = 0;
	}
	d->held_until = d->call_sent + d->spec.hold;
	d->may_act = d->write_acting;
}

void
jh_duty_on_reply(
    struct jh_duty *d, uint64_t now, const struct jh_duty_reply *reply)
{
	bool wrote = d->writing;

	d->in_call = false;
	d->writing = false;
	d->next = now + (d->token != 0 ? d->spec.renew : d->spec.look);
	switch (reply->result) {
	case JH_STORE_OK:
		see(d, now, reply);
		if (wrote)
			written(d, reply);
		d->next = d->call_sent +
			  (d->token != 0 ? d->spec.renew : d->spec.look);
		break;
	case JH_STORE_NOT_FOUND:
		if (d->token != 0 || wrote || !d->seen)
			d->seen = false;
		see(d, now, &(struct jh_duty_reply){.version = 0});
		d->token = 0;
		break;
	case JH_STORE_CONFLICT:
		see(d, now, reply);
		/*
		 * An own write whose answer was lost is found here; it still
		 * counts from when it was sent, which is not known any more, so
		 * the tenure goes on only with the next renewal.
		 */
		if (!is_own(d, reply))
			d->token = 0;
		d->next = now;
		if (d->token == 0)
			d->next = now + d->spec.look;
		break;
	default:
		/* Down, refused or without an answer. */
		break;
	}
}

bool
jh_duty_held(const struct jh_duty *d, uint64_t now)
{
	return d->token != 0 && now < d->held_until;
}

const char *
jh_duty_last_holder(const struct jh_duty *d)
{
	return d->last_holder;
}

void
jh_duty_want_to_act(struct jh_duty *d, uint64_t now)
{
	d->wanted = now;
}

uint64_t
jh_duty_token(const struct jh_duty *d, uint64_t now)
{
	return jh_duty_held(d, now) && d->may_act && !d->resigned ? d->token
								  : 0;
}

void
jh_duty_acted(struct jh_duty *d, uint64_t now)
{
	d->last_act = now;
}

bool
jh_duty_bound(const struct jh_duty *d)
{
	return d->token != 0 || (d->in_call && d->writing);
}

void
jh_duty_resign(struct jh_duty *d)
{
	d->resigned = true;
}
