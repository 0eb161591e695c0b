#include "member/rollout_state.h"

#define CALL_TIMEOUT_USEC (2 * JH_USEC_PER_SEC)

/*
 * A reservation lasts longer than the longest stream that is drained (10 min)
 * and the load together, so that it needs no renewal.
 */
#define RESERVATION_TERM_USEC (15 * 60 * JH_USEC_PER_SEC)

/* Whether another worker of the model has no reservation. */
static bool
has_other_worker(const struct jh_rollout *r, const GArray *reservations)
{
	guint i;

	for (i = 0; i < r->others->len; i++) {
		if (rollout_record_find(reservations, r->others->pdata[i]) ==
		    NULL)
			return true;
	}
	return false;
}

static void
add_own_reservation(struct jh_rollout *r, uint64_t now, GArray *reservations)
{
	struct rollout_reservation own = {.instance = g_strdup(r->instance),
	    .incarnation = r->incarnation,
	    .deadline = now + RESERVATION_TERM_USEC};

	own.nonce = (uint64_t)g_rand_int(r->rand) << 32 | g_rand_int(r->rand);
	r->nonce = own.nonce;
	r->reservation_deadline = own.deadline;
	g_array_append_val(reservations, own);
}

static void
schedule_write(struct jh_rollout *r, uint64_t now, enum rollout_state state,
    uint64_t version, const GArray *reservations)
{
	g_free(r->value);
	r->value = rollout_record_format(reservations);
	r->version = version;
	r->state = state;
	r->due = now;
}

/* The object has been read in order to reserve. */
static void
try_reserve(
    struct jh_rollout *r, uint64_t now, uint64_t version, GArray *reservations)
{
	struct rollout_reservation *own =
	    rollout_record_find(reservations, r->instance);

	if (own != NULL && r->nonce != 0 && own->nonce == r->nonce) {
		r->load_started = false;
		r->state = ROLLOUT_LOADING;
		return;
	}
	rollout_record_remove(reservations, r->instance);
	rollout_record_expire(reservations, now - JH_LEASE_MARGIN_USEC);
	if (!has_other_worker(r, reservations)) {
		rollout_end_attempt(r, now);
		return;
	}
	add_own_reservation(r, now, reservations);
	schedule_write(r, now, ROLLOUT_RESERVING, version, reservations);
}

/* The object has been read in order to remove the reservation. */
static void
try_remove(
    struct jh_rollout *r, uint64_t now, uint64_t version, GArray *reservations)
{
	if (rollout_record_find(reservations, r->instance) == NULL) {
		rollout_on_removed(r, now);
		return;
	}
	rollout_record_remove(reservations, r->instance);
	schedule_write(r, now, ROLLOUT_REMOVING, version, reservations);
}

static void
after_read(
    struct jh_rollout *r, uint64_t now, uint64_t version, struct jh_str value)
{
	GArray *reservations = rollout_record_parse(value);

	if (r->state == ROLLOUT_READING)
		try_reserve(r, now, version, reservations);
	else
		try_remove(r, now, version, reservations);
	g_array_free(reservations, TRUE);
}

static void
after_write(struct jh_rollout *r, uint64_t now, enum jh_lease_result result)
{
	bool removing = r->state == ROLLOUT_REMOVING;

	if (result == JH_LEASE_OK && removing) {
		rollout_on_removed(r, now);
		return;
	}
	if (result == JH_LEASE_OK) {
		r->load_started = false;
		r->state = ROLLOUT_LOADING;
		return;
	}
	/*
	 * Reads the object to learn whether the write took effect. If a lost
	 * write arrives later, either it fails because the version differs, or
	 * its reservation is found by the nonce or the instance at the next
	 * attempt.
	 */
	r->state = removing ? ROLLOUT_LEAVING : ROLLOUT_READING;
}

void
rollout_on_reservation_result(struct jh_rollout *r, uint64_t now,
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
rollout_next_reservation_call(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out)
{
	bool write =
	    r->state == ROLLOUT_RESERVING || r->state == ROLLOUT_REMOVING;

	if (r->busy || now < r->due ||
	    (!write && r->state != ROLLOUT_READING &&
		r->state != ROLLOUT_LEAVING))
		return false;
	out->kind = write ? JH_ROLLOUT_PUT : JH_ROLLOUT_GET;
	out->call = RESERVATION_CALL;
	out->key = r->key;
	out->deadline = now + CALL_TIMEOUT_USEC;
	if (write) {
		out->value = jh_str_from(r->value);
		out->if_version = r->version;
	}
	r->busy = true;
	return true;
}
