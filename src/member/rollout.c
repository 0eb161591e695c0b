#include <string.h>

#include "member/rollout_state.h"

#define SLOT_TERM_USEC (30 * JH_USEC_PER_SEC)

/*
 * Agents that wait to load make this many attempts at a slot in all, a small
 * part of the store's 2,000 reads/s. Each one makes about one a second at most.
 */
#define ATTEMPTS_PER_SEC 50

/*
 * Failed loads add a backoff that doubles up to 64 s. Failures of the store add
 * none, because the rate of attempts is limited anyway.
 */
#define MAX_DOUBLINGS 6

static const char *const state_names[] = {"idle", "waiting", "acquiring",
    "reading", "reserving", "loading", "leaving", "removing"};

static const char *const slot_leases[JH_ROLLOUT_SLOTS] = {
    "weights-load-0", "weights-load-1"};

struct jh_rollout *
jh_rollout_create(const struct jh_rollout_spec *spec)
{
	struct jh_rollout *r = g_new0(struct jh_rollout, 1);
	struct jh_lease_spec lease = {.holder = spec->instance,
	    .incarnation = spec->incarnation,
	    .term_usec = SLOT_TERM_USEC,
	    .rand = spec->rand};
	unsigned int i;

	r->instance = g_strdup(spec->instance);
	r->incarnation = spec->incarnation;
	r->region = g_strdup(spec->region);
	r->rand = spec->rand;
	r->others = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < JH_ROLLOUT_SLOTS; i++) {
		lease.name = slot_leases[i];
		r->slots[i] = jh_lease_create(&lease);
	}
	r->slot = (unsigned int)g_rand_int_range(r->rand, 0, JH_ROLLOUT_SLOTS);
	return r;
}

void
jh_rollout_destroy(struct jh_rollout *r)
{
	unsigned int i;

	if (r == NULL)
		return;
	for (i = 0; i < JH_ROLLOUT_SLOTS; i++)
		jh_lease_destroy(r->slots[i]);
	g_ptr_array_free(r->others, TRUE);
	g_free(r->instance);
	g_free(r->region);
	g_free(r->model);
	g_free(r->weights);
	g_free(r->key);
	g_free(r->value);
	g_free(r);
}

static uint64_t
random_below(struct jh_rollout *r, uint64_t base)
{
	return (uint64_t)((double)base * g_rand_double(r->rand));
}

uint64_t
rollout_retry_time(struct jh_rollout *r, uint64_t now)
{
	return now + MIN_ATTEMPT_INTERVAL_USEC / 2 +
	       random_below(r, MIN_ATTEMPT_INTERVAL_USEC);
}

static uint64_t
attempt_interval(const struct jh_rollout *r)
{
	return MAX(MIN_ATTEMPT_INTERVAL_USEC,
	    r->fleet * JH_USEC_PER_SEC / ATTEMPTS_PER_SEC);
}

/* Schedules the first attempt, or the next one after a failure. */
static void
schedule_attempt(struct jh_rollout *r, uint64_t now, enum rollout_state state)
{
	uint64_t base = attempt_interval(r);

	if (r->failures > 0)
		base += MIN_ATTEMPT_INTERVAL_USEC
			<< MIN(r->failures, MAX_DOUBLINGS);
	r->state = state;
	r->due = now + base / 2 + random_below(r, base);
}

void
jh_rollout_set_target(
    struct jh_rollout *r, uint64_t now, const char *model, const char *weights)
{
	if (r->state != ROLLOUT_IDLE && r->state != ROLLOUT_WAITING)
		return;
	if (g_strcmp0(r->model, model) == 0 &&
	    g_strcmp0(r->weights, weights) == 0)
		return;
	g_free(r->model);
	g_free(r->weights);
	g_free(r->key);
	r->model = g_strdup(model);
	r->weights = g_strdup(weights);
	r->key = g_strdup_printf(
	    "rollout/%s/%s", r->region, model == NULL ? "" : model);
	r->failures = 0;
	if (weights == NULL)
		r->state = ROLLOUT_IDLE;
	else
		schedule_attempt(r, now, ROLLOUT_WAITING);
}

void
jh_rollout_set_workers(
    struct jh_rollout *r, const char *const *others, size_t n, size_t fleet)
{
	size_t i;

	g_ptr_array_set_size(r->others, 0);
	for (i = 0; i < n; i++)
		g_ptr_array_add(r->others, g_strdup(others[i]));
	r->fleet = fleet;
}

static uint64_t
slot_token(const struct jh_rollout *r, uint64_t now)
{
	return jh_lease_token(r->slots[r->slot], now);
}

uint64_t
jh_rollout_token(const struct jh_rollout *r, uint64_t now)
{
	uint64_t end = now + JH_ROLLOUT_LOAD_USEC;

	if (r->state != ROLLOUT_LOADING ||
	    end >= jh_lease_safe_until(r->slots[r->slot]) ||
	    end >= r->reservation_deadline - JH_LEASE_MARGIN_USEC)
		return 0;
	return slot_token(r, now);
}

/* Releases the slot; the next attempt is on the other one. */
static void
release_slot(struct jh_rollout *r)
{
	jh_lease_want(r->slots[r->slot], false);
	r->slot = (r->slot + 1) % JH_ROLLOUT_SLOTS;
}

/* Ends an attempt that has or may have a reservation. */
static void
start_removal(struct jh_rollout *r, uint64_t now)
{
	release_slot(r);
	r->state = ROLLOUT_LEAVING;
	r->due = now;
}

void
rollout_end_attempt(struct jh_rollout *r, uint64_t now)
{
	release_slot(r);
	schedule_attempt(r, now, ROLLOUT_WAITING);
}

void
rollout_on_removed(struct jh_rollout *r, uint64_t now)
{
	r->nonce = 0;
	if (r->loaded) {
		/* The caller sets a new target. */
		g_clear_pointer(&r->weights, g_free);
		r->state = ROLLOUT_IDLE;
	} else {
		schedule_attempt(r, now, ROLLOUT_WAITING);
	}
}

/* Ends the attempt if the slot is taken or the store did not respond. */
static void
check_slot(struct jh_rollout *r, uint64_t now)
{
	const struct jh_lease *l = r->slots[r->slot];

	if (r->state != ROLLOUT_ACQUIRING || slot_token(r, now) != 0 ||
	    jh_lease_wake(l) <= now)
		return;
	rollout_end_attempt(r, now);
}

void
jh_rollout_on_result(struct jh_rollout *r, uint64_t now, unsigned int call,
    enum jh_lease_result result, uint64_t version, struct jh_str value)
{
	if (call == RESERVATION_CALL) {
		rollout_on_reservation_result(r, now, result, version, value);
		return;
	}
	jh_lease_on_result(r->slots[call], now, result, version, value);
	if (call == r->slot)
		check_slot(r, now);
}

void
jh_rollout_on_loaded(struct jh_rollout *r, uint64_t now, bool loaded)
{
	r->loaded = loaded;
	r->failures = loaded ? 0 : r->failures + 1;
	start_removal(r, now);
}

static bool
next_lease_call(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out)
{
	struct jh_lease_action a;
	unsigned int i;

	for (i = 0; i < JH_ROLLOUT_SLOTS; i++) {
		if (!jh_lease_next(r->slots[i], now, &a))
			continue;
		out->kind =
		    a.kind == JH_LEASE_READ ? JH_ROLLOUT_GET : JH_ROLLOUT_PUT;
		out->call = i;
		out->key = a.key;
		out->value = a.value;
		out->if_version = a.if_version;
		out->deadline = a.deadline;
		return true;
	}
	return false;
}

/* Makes the state changes that need no call to the store. */
static void
advance(struct jh_rollout *r, uint64_t now)
{
	bool held = slot_token(r, now) != 0;

	if (r->state == ROLLOUT_WAITING && now >= r->due &&
	    r->others->len > 0) {
		r->state = ROLLOUT_ACQUIRING;
		r->loaded = false;
		jh_lease_want(r->slots[r->slot], true);
	} else if (r->state == ROLLOUT_ACQUIRING && held) {
		r->state = ROLLOUT_READING;
		r->due = now;
	} else if ((r->state == ROLLOUT_READING ||
		       r->state == ROLLOUT_RESERVING) &&
		   !held && !r->busy) {
		rollout_end_attempt(r, now);
	}
}

bool
jh_rollout_next(
    struct jh_rollout *r, uint64_t now, struct jh_rollout_action *out)
{
	memset(out, 0, sizeof(*out));
	advance(r, now);
	if (next_lease_call(r, now, out) ||
	    rollout_next_reservation_call(r, now, out))
		return true;
	if (r->state != ROLLOUT_LOADING || r->load_started)
		return false;
	r->load_started = true;
	out->kind = JH_ROLLOUT_LOAD;
	out->lease = slot_leases[r->slot];
	out->model = r->model;
	out->weights = r->weights;
	return true;
}

bool
jh_rollout_is_idle(const struct jh_rollout *r)
{
	unsigned int i;

	for (i = 0; i < JH_ROLLOUT_SLOTS; i++) {
		if (!jh_lease_is_idle(r->slots[i]))
			return false;
	}
	return r->state == ROLLOUT_IDLE || r->state == ROLLOUT_WAITING;
}

const char *
jh_rollout_state_name(const struct jh_rollout *r)
{
	return state_names[r->state];
}
