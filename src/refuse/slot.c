#include "refuse/slot.h"

/* A refusal may be counted this long after its minute has ended. */
#define GRACE_USEC (5 * JH_USEC_PER_SEC)
#define RETRY_FIRST_USEC (1 * JH_USEC_PER_SEC)
#define RETRY_LIMIT_USEC (60 * JH_USEC_PER_SEC)

struct jh_refusal_slot *
jh_refusal_slot_create(struct jh_refusal_hour *data)
{
	struct jh_refusal_slot *s = g_new0(struct jh_refusal_slot, 1);

	s->data = data;
	s->changes = 1;
	return s;
}

void
jh_refusal_slot_free(struct jh_refusal_slot *s)
{
	jh_refusal_hour_free(s->data);
	g_free(s);
}

void
jh_refusal_slot_strip(struct jh_refusal_slot *s)
{
	struct jh_refusal_hour *h;

	h = jh_refusal_hour_create(
	    s->data->hour, s->data->instance, s->data->incarnation);
	h->write = s->data->write;
	h->from = h->covered_until = s->data->from;
	jh_refusal_hour_free(s->data);
	s->data = h;
	s->stub = true;
}

void
jh_refusal_slot_cover(struct jh_refusal_slot *s, uint64_t now, bool stopping)
{
	struct jh_refusal_hour *h = s->data;
	uint64_t start = h->hour * JH_USEC_PER_HOUR;
	unsigned int until = 0;

	h->write++;
	s->written = s->changes;
	if (s->stub)
		return;
	if (now >= start + GRACE_USEC)
		until = (unsigned int)MIN(
		    (now - start - GRACE_USEC) / JH_USEC_PER_MINUTE,
		    JH_MINUTES);
	h->covered_until = MAX(h->covered_until, until);
	h->closed = stopping || until == JH_MINUTES;
}

/* The next write in our phase of a minute, not before the hour begins. */
static uint64_t
next_write(const struct jh_refusal_slot *s, uint64_t now, uint64_t phase)
{
	uint64_t due;

	due = (now / JH_USEC_PER_MINUTE + 1) * JH_USEC_PER_MINUTE + phase;
	return MAX(due, s->data->hour * JH_USEC_PER_HOUR + phase);
}

static void
retry_later(struct jh_refusal_slot *s, uint64_t now, uint64_t phase)
{
	uint64_t delay = RETRY_FIRST_USEC << MIN(s->tries, 16);

	s->tries++;
	/* The phase keeps the processes apart when the store returns. */
	s->due = now + MIN(delay, RETRY_LIMIT_USEC) + phase / 16;
}

bool
jh_refusal_slot_result(struct jh_refusal_slot *s, uint64_t now, uint64_t phase,
    enum jh_store_result result, uint64_t version)
{
	switch (result) {
	case JH_STORE_OK:
		s->exists = true;
		s->version = version;
		s->tries = 0;
		s->due = next_write(s, now, phase);
		return s->stub || (s->data->closed && s->changes == s->written);
	case JH_STORE_CONFLICT:
		/* A write of ours took effect though its answer was lost. */
		s->exists = true;
		s->version = version;
		s->due = now;
		return s->stub;
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
