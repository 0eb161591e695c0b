#include <string.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/lease.h>

#include "member/lease_record.h"

/* Longest timeout of a call to the store. */
#define CALL_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)
/* Contenders spread their reads over this time after a lease has expired. */
#define CONTENDER_SPREAD_USEC JH_USEC_PER_SEC

struct jh_lease {
	char *key;
	struct lease_record own; /* as last written */
	uint64_t term;
	GRand *rand;
	bool wanted;
	bool held;
	uint64_t deadline; /* of the held lease, as in the object */
	uint64_t version; /* of the object; the condition of the next write */
	bool write_in_doubt; /* the last write has no known outcome */
	bool in_call;
	enum jh_lease_action_kind current; /* the call in progress */
	enum jh_lease_action_kind next;
	bool releasing; /* the write in progress gives the lease up */
	uint64_t due;
	char *value;
};

struct jh_lease *
jh_lease_create(const struct jh_lease_spec *spec)
{
	struct jh_lease *l = g_new0(struct jh_lease, 1);

	g_assert(spec->term_usec > 3 * JH_LEASE_MARGIN_USEC);
	l->key = g_strconcat("leases/", spec->name, NULL);
	g_strlcpy(l->own.holder, spec->holder, sizeof(l->own.holder));
	l->own.incarnation = spec->incarnation;
	l->term = spec->term_usec;
	l->rand = spec->rand;
	l->next = JH_LEASE_READ;
	return l;
}

void
jh_lease_destroy(struct jh_lease *l)
{
	if (l == NULL)
		return;
	g_free(l->key);
	g_free(l->value);
	g_free(l);
}

void
jh_lease_want(struct jh_lease *l, bool wanted)
{
	if (l->wanted == wanted)
		return;
	l->wanted = wanted;
	l->due = 0;
	if (!l->held)
		l->next = JH_LEASE_READ;
}

bool
jh_lease_is_idle(const struct jh_lease *l)
{
	return !l->wanted && !l->held && !l->write_in_doubt && !l->in_call;
}

static uint64_t
jitter(struct jh_lease *l, uint64_t span)
{
	return (uint64_t)((double)span * g_rand_double(l->rand));
}

static uint64_t
random64(GRand *rand)
{
	return (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);
}

static void
prepare_write(struct jh_lease *l, uint64_t now)
{
	l->releasing = l->held && !l->wanted;
	l->own.deadline = l->releasing ? 0 : now + l->term;
	/* A write that may still take effect is repeated under its nonce. */
	if (!l->write_in_doubt)
		l->own.nonce = random64(l->rand);
	g_free(l->value);
	l->value = lease_record_format(&l->own);
}

bool
jh_lease_next(struct jh_lease *l, uint64_t now, struct jh_lease_action *out)
{
	memset(out, 0, sizeof(*out));
	if (l->in_call || now < l->due || jh_lease_is_idle(l))
		return false;
	out->kind = l->next;
	out->key = l->key;
	out->deadline = now + MIN(CALL_TIMEOUT_USEC, l->term / 4);
	if (l->next == JH_LEASE_WRITE) {
		prepare_write(l, now);
		out->if_version = l->version;
		out->value = jh_str_from(l->value);
	}
	l->current = l->next;
	l->in_call = true;
	return true;
}

uint64_t
jh_lease_wake(const struct jh_lease *l)
{
	return l->in_call || jh_lease_is_idle(l) ? JH_NEVER : l->due;
}

static void
schedule(struct jh_lease *l, enum jh_lease_action_kind next, uint64_t due)
{
	l->next = next;
	l->due = due;
}

static void
set_held(struct jh_lease *l, uint64_t now, uint64_t version, uint64_t deadline)
{
	l->held = true;
	l->write_in_doubt = false;
	l->version = version;
	l->deadline = deadline;
	/* Renewal after a third of the term leaves time for retries. */
	schedule(
	    l, JH_LEASE_WRITE, l->wanted ? deadline - l->term / 3 * 2 : now);
}

/*
 * The object is absent or was written by another holder, so that a write of
 * this one that is in doubt cannot take effect any more.
 */
static void
set_not_held(struct jh_lease *l, uint64_t now, uint64_t version,
    const struct lease_record *other)
{
	uint64_t free_at = other->deadline + JH_LEASE_MARGIN_USEC;

	l->held = false;
	l->write_in_doubt = false;
	l->version = version;
	if (other->deadline == 0 || free_at < now)
		schedule(l, JH_LEASE_WRITE, now);
	else
		/* It may be released earlier, so it is read before as well. */
		schedule(l, JH_LEASE_READ,
		    MIN(free_at + jitter(l, CONTENDER_SPREAD_USEC),
			now + l->term / 2 + jitter(l, l->term / 2)));
}

static void
check_object(
    struct jh_lease *l, uint64_t now, uint64_t version, struct jh_str value)
{
	struct lease_record r;

	lease_record_parse(&r, value);
	if (r.nonce != 0 && r.nonce == l->own.nonce &&
	    r.incarnation == l->own.incarnation &&
	    strcmp(r.holder, l->own.holder) == 0 && r.deadline != 0) {
		set_held(l, now, version, r.deadline);
	} else if (l->write_in_doubt && version == l->version) {
		/* Repeating the write decides whether it can take effect. */
		l->write_in_doubt = l->wanted || l->held;
		schedule(l, JH_LEASE_WRITE, now);
	} else {
		set_not_held(l, now, version, &r);
	}
}

static void
retry(struct jh_lease *l, uint64_t now)
{
	uint64_t step = l->term / 20;

	schedule(l, l->write_in_doubt ? JH_LEASE_READ : l->next,
	    now + step + jitter(l, step));
}

static void
finish_release(struct jh_lease *l, uint64_t now)
{
	/* If the write failed, the lease expires. */
	l->releasing = false;
	l->held = false;
	l->write_in_doubt = false;
	schedule(l, JH_LEASE_READ, now);
}

void
jh_lease_on_result(struct jh_lease *l, uint64_t now,
    enum jh_lease_result result, uint64_t version, struct jh_str value)
{
	bool write = l->current == JH_LEASE_WRITE;

	l->in_call = false;
	if (write && l->releasing) {
		finish_release(l, now);
		return;
	}
	switch (result) {
	case JH_LEASE_OK:
		if (write)
			set_held(l, now, version, l->own.deadline);
		else
			check_object(l, now, version, value);
		break;
	case JH_LEASE_NOT_FOUND:
		check_object(l, now, 0, JH_STR(""));
		break;
	case JH_LEASE_CONFLICT:
		check_object(l, now, version, value);
		break;
	case JH_LEASE_UNKNOWN:
		l->write_in_doubt = l->write_in_doubt || write;
		retry(l, now);
		break;
	case JH_LEASE_FAILED:
		retry(l, now);
		break;
	}
}

uint64_t
jh_lease_safe_until(const struct jh_lease *l)
{
	if (!l->held || !l->wanted || l->releasing ||
	    l->deadline <= JH_LEASE_MARGIN_USEC)
		return 0;
	return l->deadline - JH_LEASE_MARGIN_USEC;
}

uint64_t
jh_lease_token(const struct jh_lease *l, uint64_t now)
{
	return now < jh_lease_safe_until(l) ? l->version : 0;
}
