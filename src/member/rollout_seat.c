#include "member/rollout_state.h"

#define CALL_USEC (2 * JH_USEC_PER_SEC)

/*
 * A reservation outlasts the longest stream (10 min) that is waited for, and
 * the load, so that it needs no renewal.
 */
#define SEAT_TERM_USEC (15 * 60 * JH_USEC_PER_SEC)

/* Whether another worker is not out. */
static bool
has_stand_in(const struct jh_rollout *r, const GArray *seats)
{
	guint i;

	for (i = 0; i < r->others->len; i++) {
		if (rollout_record_find(seats, r->others->pdata[i]) == NULL)
			return true;
	}
	return false;
}

static void
add_own_seat(struct jh_rollout *r, uint64_t now, GArray *seats)
{
	struct rollout_seat own = {.instance = g_strdup(r->instance),
	    .incarnation = r->incarnation,
	    .deadline = now + SEAT_TERM_USEC};

	own.nonce = (uint64_t)g_rand_int(r->rand) << 32 | g_rand_int(r->rand);
	r->nonce = own.nonce;
	r->seat_deadline = own.deadline;
	g_array_append_val(seats, own);
}

static void
set_write(struct jh_rollout *r, uint64_t now, enum rollout_state state,
    uint64_t version, const GArray *seats)
{
	g_free(r->value);
	r->value = rollout_record_format(seats);
	r->version = version;
	r->state = state;
	r->due = now;
}

/* The reservation object has been read, to reserve a seat. */
static void
decide(struct jh_rollout *r, uint64_t now, uint64_t version, GArray *seats)
{
	struct rollout_seat *own = rollout_record_find(seats, r->instance);

	if (own != NULL && r->nonce != 0 && own->nonce == r->nonce) {
		r->acted = false;
		r->state = ROLLOUT_LOADING;
		return;
	}
	rollout_record_remove(seats, r->instance);
	rollout_record_expire(seats, now - JH_LEASE_MARGIN_USEC);
	if (!has_stand_in(r, seats)) {
		rollout_withdraw(r, now);
		return;
	}
	add_own_seat(r, now, seats);
	set_write(r, now, ROLLOUT_RESERVING, version, seats);
}

/* The reservation object has been read, to leave it. */
static void
decide_leave(
    struct jh_rollout *r, uint64_t now, uint64_t version, GArray *seats)
{
	if (rollout_record_find(seats, r->instance) == NULL) {
		rollout_finish(r, now);
		return;
	}
	rollout_record_remove(seats, r->instance);
	set_write(r, now, ROLLOUT_REMOVING, version, seats);
}

static void
after_read(
    struct jh_rollout *r, uint64_t now, uint64_t version, struct jh_str value)
{
	GArray *seats = rollout_record_parse(value);

	if (r->state == ROLLOUT_READING)
		decide(r, now, version, seats);
	else
		decide_leave(r, now, version, seats);
	g_array_free(seats, TRUE);
}

static void
after_write(struct jh_rollout *r, uint64_t now, enum jh_lease_result result)
{
	bool removing = r->state == ROLLOUT_REMOVING;

	if (result == JH_LEASE_OK && removing) {
		rollout_finish(r, now);
		return;
	}
	if (result == JH_LEASE_OK) {
		r->acted = false;
		r->state = ROLLOUT_LOADING;
		return;
	}
	/*
	 * The object tells. A lost write that comes later meets another
	 * version, or is found by its nonce or by the instance's name at the
	 * next attempt.
	 */
	r->state = removing ? ROLLOUT_LEAVING : ROLLOUT_READING;
}

void
rollout_on_seat_result(struct jh_rollout *r, uint64_t now,
    enum jh_lease_result result, uint64_t version, struct jh_str value)
{
	bool read = r->state == ROLLOUT_READING || r->state == ROLLOUT_LEAVING;

	r->busy = false;
	if (result == JH_LEASE_FAILED || result == JH_LEASE_UNKNOWN)
		r->due = rollout_retry_time(r, now);
	if (!read)
		after_write(r, now, result);
	else if (result == JH_LEASE_OK)
		after_read(r, now, version, value);
	else if (result == JH_LEASE_NOT_FOUND)
		after_read(r, now, 0, JH_STR(""));
}

bool
rollout_next_seat_call(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out)
{
	bool write =
	    r->state == ROLLOUT_RESERVING || r->state == ROLLOUT_REMOVING;

	if (r->busy || now < r->due ||
	    (!write && r->state != ROLLOUT_READING &&
		r->state != ROLLOUT_LEAVING))
		return false;
	out->kind = write ? JH_ROLLOUT_PUT : JH_ROLLOUT_GET;
	out->call = SEAT_CALL;
	out->key = r->key;
	out->deadline = now + CALL_USEC;
	if (write) {
		out->value = jh_str_from(r->value);
		out->if_version = r->version;
	}
	r->busy = true;
	return true;
}
