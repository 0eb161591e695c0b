#include <jacinthhill/clock.h>

#include "route/prefix_store_state.h"

/* A transfer takes this much longer between zones and between regions. */
#define ZONE_FACTOR 2
#define REGION_FACTOR 10

/*
 * A prefix is taken to be in a store until four fifths of the store's room were
 * saved to since, but for no shorter time than this.
 */
#define STORED_MIN_USEC (2 * JH_USEC_PER_SEC)
#define ROOM_TRUSTED 0.8

/* Spans of the sums of transfers and of saved tokens. */
#define LOAD_WINDOW_USEC JH_USEC_PER_SEC
#define SAVED_WINDOW_USEC (4 * JH_USEC_PER_SEC)

/*
 * First events that are later than those of other requests, by this much more
 * than the prefill that a fetch saves, show that the store does not respond.
 * A dead source costs some hundred ms, a transfer to the other region up to
 * 180.
 */
#define DEAD_USEC (200 * JH_USEC_PER_MSEC)
/* Weight of a new value in a moving average. */
#define NEW_WEIGHT 0.25
#define LATE_MIN_SAMPLES 4
/* To avoid a store; one is enough if it was avoided last time. */
#define DEAD_MIN_SAMPLES 2U

/*
 * The same for transfers. One to the other region takes ten times as long as
 * most, and the average is applied to all transfers of other processes.
 */
#define TRANSFER_WEIGHT (1.0 / 16)

/*
 * A store that lost its prefixes makes first events late by this part of the
 * saving at least: engines may compute faster than expected, and part of the
 * prefixes may be there. A wrong result has prefixes saved once more. Smaller
 * savings are not told from the scatter of first events.
 */
#define SAVING_LOST 0.4
#define SAVING_MIN_USEC (20 * JH_USEC_PER_MSEC)

/* Time for which a dead store is not used; doubles up to the second. */
#define AVOID_MIN_USEC (2 * JH_USEC_PER_SEC)
#define AVOID_MAX_USEC (16 * JH_USEC_PER_SEC)

static void
window_advance(struct jh_prefix_window *w, uint64_t now, uint64_t span)
{
	uint64_t passed = now - w->start;

	if (passed < span)
		return;
	w->previous = passed < 2 * span ? w->current : 0;
	w->current = 0;
	w->start = passed < 2 * span ? w->start + span : now;
}

static void
window_add(
    struct jh_prefix_window *w, uint64_t now, uint64_t span, double amount)
{
	window_advance(w, now, span);
	w->current += amount;
}

/* The previous span counts as far as it is within the last one. */
static double
window_sum(struct jh_prefix_window *w, uint64_t now, uint64_t span)
{
	window_advance(w, now, span);
	return w->current +
	       w->previous * (double)(span - (now - w->start)) / (double)span;
}

/* Time that a transfer of so many bytes takes the store's link. */
uint64_t
jh_prefix_store_transfer_usec(const struct jh_prefix_store_state *t,
    uint64_t bytes, enum jh_prefix_distance d)
{
	uint64_t usec = bytes * 8 / t->spec.link_mbps;

	switch (d) {
	case JH_PREFIX_SAME_ZONE:
		return usec;
	case JH_PREFIX_SAME_REGION:
		return usec * ZONE_FACTOR;
	case JH_PREFIX_OTHER_REGION:
		break;
	}
	return usec * REGION_FACTOR;
}

uint64_t
jh_prefix_store_kept_usec(struct jh_prefix_store_state *t, uint64_t now)
{
	double saved = window_sum(&t->saved, now, SAVED_WINDOW_USEC);
	double usec;

	if (saved <= 0)
		return JH_PREFIX_STORED_USEC;
	usec = (double)t->spec.room * ROOM_TRUSTED / saved *
	       (double)SAVED_WINDOW_USEC;
	if (usec >= (double)JH_PREFIX_STORED_USEC)
		return JH_PREFIX_STORED_USEC;
	return MAX((uint64_t)usec, STORED_MIN_USEC);
}

static void
avoid(struct jh_prefix_store_state *t, uint64_t now)
{
	t->avoid_usec =
	    CLAMP(2 * t->avoid_usec, AVOID_MIN_USEC, AVOID_MAX_USEC);
	t->avoid_until = now + t->avoid_usec;
	/* It may have restarted when it is used again. */
	t->trusted_from = t->avoid_until;
}

/* Transfers run one after another. */
static void
add_backlog(struct jh_prefix_store_state *t, uint64_t now, double busy_usec)
{
	window_add(&t->busy, now, LOAD_WINDOW_USEC, busy_usec);
	t->busy_until = MAX(t->busy_until, now) + (uint64_t)busy_usec;
}

void
jh_prefix_store_moved(struct jh_prefix_store_state *t, uint64_t now,
    double busy_usec, double saved_tokens)
{
	add_backlog(t, now, busy_usec);
	window_add(&t->saved, now, SAVED_WINDOW_USEC, saved_tokens);
	t->mean_busy += TRANSFER_WEIGHT * (busy_usec - t->mean_busy);
	t->mean_saved += TRANSFER_WEIGHT * (saved_tokens - t->mean_saved);
}

void
jh_prefix_store_heard(struct jh_prefix_store_state *t, uint64_t now)
{
	add_backlog(t, now, t->mean_busy);
	window_add(&t->saved, now, SAVED_WINDOW_USEC, t->mean_saved);
}

uint64_t
jh_prefix_store_load(struct jh_prefix_store_state *t, uint64_t now)
{
	return (uint64_t)window_sum(&t->busy, now, LOAD_WINDOW_USEC);
}

uint64_t
jh_prefix_store_backlog(const struct jh_prefix_store_state *t, uint64_t now)
{
	return t->busy_until - MIN(t->busy_until, now);
}

void
jh_prefix_store_other_late(struct jh_prefix_store_state *t, int64_t late_usec)
{
	t->others_late += NEW_WEIGHT * ((double)late_usec - t->others_late);
}

enum jh_prefix_verdict
jh_prefix_store_late(struct jh_prefix_store_state *t, uint64_t now,
    int64_t late_usec, uint64_t saved_usec)
{
	double excess;
	bool dead;

	if (now < t->avoid_until)
		return JH_PREFIX_NO_CHANGE;
	t->samples++;
	t->late +=
	    ((double)late_usec - t->late) * MAX(NEW_WEIGHT, 1.0 / t->samples);
	t->expected_saving += ((double)saved_usec - t->expected_saving) *
			      MAX(NEW_WEIGHT, 1.0 / t->samples);
	excess = t->late - t->others_late;
	dead = excess > t->expected_saving + (double)DEAD_USEC;
	if (dead && t->samples >= (t->avoid_usec != 0 ? 1 : DEAD_MIN_SAMPLES)) {
		t->samples = 0;
		avoid(t, now);
		return JH_PREFIX_STORE_AVOIDED;
	}
	if (t->samples < LATE_MIN_SAMPLES)
		return JH_PREFIX_NO_CHANGE;
	if (t->expected_saving > (double)SAVING_MIN_USEC &&
	    excess > t->expected_saving * SAVING_LOST) {
		t->samples = 0;
		t->trusted_from = now;
		return JH_PREFIX_STORE_EMPTY;
	}
	t->avoid_usec = 0;
	return JH_PREFIX_NO_CHANGE;
}
