#include <stdbool.h>

#include <glib.h>

#include "member/publication.h"

/* The given time before another, or 0. */
static uint64_t
before(uint64_t at, uint64_t usec)
{
	return at - MIN(at, usec);
}

/*
 * Whether the change may have been sent during the pause. After it, the source
 * sends again what was not acknowledged, at intervals that double: within the
 * length of the pause at the latest.
 */
static bool
may_be_from_pause(const struct jh_publication *p)
{
	return p->resumed_at != 0 && p->now <= p->resumed_at + p->paused_for;
}

uint64_t
jh_publication_time(const struct jh_publication *p)
{
	uint64_t age = JH_PUBLICATION_MAX_AGE_USEC, since;

	if (p->earliest == 0)
		return before(p->connected_since, age);
	if (!may_be_from_pause(p))
		return p->earliest;
	since = before(p->resumed_at, MIN(p->paused_for, age));
	return MIN(p->earliest, MAX(since, p->previous_call));
}
