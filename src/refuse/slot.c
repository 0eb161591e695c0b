#include "refuse/slot.h"

/* A refusal may be counted up to this long after its minute has ended. */
#define COUNT_GRACE_USEC (5 * JH_USEC_PER_SEC)
#define RETRY_FIRST_USEC (1 * JH_USEC_PER_SEC)
#define RETRY_LIMIT_USEC (60 * JH_USEC_PER_SEC)

struct jh_refusal_slot *
jh_refusal_slot_create(struct jh_refusal_hour *record)
{
	struct jh_refusal_slot *s = g_new0(struct jh_refusal_slot, 1);

	s->record = record;
	s->changes = 1;
	return s;
}

void
jh_refusal_slot_free(struct jh_refusal_slot *s)
{
	jh_refusal_hour_free(s->record);
	g_free(s);
}

void
jh_refusal_slot_drop_counts(struct jh_refusal_slot *s)
{
	struct jh_refusal_hour *h;

	h = jh_refusal_hour_create(
	    s->record->hour, s->record->instance, s->record->incarnation);
	h->write_number = s->record->write_number;
	h->from = h->covered_until = s->record->from;
	jh_refusal_hour_free(s->record);
	s->record = h;
	s->counts_dropped = true;
}

void
jh_refusal_slot_begin_write(
    struct jh_refusal_slot *s, uint64_t now, bool stopping)
{
	struct jh_refusal_hour *h = s->record;
	uint64_t start = h->hour * JH_USEC_PER_HOUR;
	unsigned int until = 0;

	h->write_number++;
	s->written_changes = s->changes;
	if (s->counts_dropped)
		return;
	if (now >= start + COUNT_GRACE_USEC)
		until = (unsigned int)MIN(
		    (now - start - COUNT_GRACE_USEC) / JH_USEC_PER_MINUTE,
		    JH_MINUTES_PER_HOUR);
	h->covered_until = MAX(h->covered_until, until);
	h->closed = stopping || until == JH_MINUTES_PER_HOUR;
}

/*
 * Time of the next write: at this process's phase of the next minute, but not
 * before the hour begins.
 */
static uint64_t
next_write(const struct jh_refusal_slot *s, uint64_t now, uint64_t phase)
{
	uint64_t due;

	due = (now / JH_USEC_PER_MINUTE + 1) * JH_USEC_PER_MINUTE + phase;
	return MAX(due, s->record->hour * JH_USEC_PER_HOUR + phase);
}

static void
retry_later(struct jh_refusal_slot *s, uint64_t now, uint64_t phase)
{
	uint64_t delay = RETRY_FIRST_USEC << MIN(s->failures, 16);

	s->failures++;
	/* The phase spreads the retries of the processes after an outage. */
	s->due = now + MIN(delay, RETRY_LIMIT_USEC) + phase / 16;
}

bool
jh_refusal_slot_end_write(struct jh_refusal_slot *s, uint64_t now,
    uint64_t phase, enum jh_store_result result, uint64_t version)
{
	switch (result) {
	case JH_STORE_OK:
		s->exists = true;
		s->version = version;
		s->failures = 0;
		s->due = next_write(s, now, phase);
		return s->counts_dropped ||
		       (s->record->closed && s->changes == s->written_changes);
	case JH_STORE_CONFLICT:
		/* An earlier write took effect, but its result was lost. */
		s->exists = true;
		s->version = version;
		s->due = now;
		return s->counts_dropped;
	case JH_STORE_NOT_FOUND:
		s->exists = false;
		s->version = 0;
		retry_later(s, now, phase);
		break;
	default:
		retry_later(s, now, phase);
		break;
	}
	return false;
}
