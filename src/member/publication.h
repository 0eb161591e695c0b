#ifndef MEMBER_PUBLICATION_H
#define MEMBER_PUBLICATION_H

#include <stdint.h>

/*
 * Dates a change that this process has just learned of: how long others may
 * have known it. Does no I/O. Times are microseconds of a clock that also runs
 * while the host is suspended.
 */
struct jh_publication {
	uint64_t now;
	/* By the source: now, or its last response before an outage; 0: none */
	uint64_t earliest;
	/*
	 * When the last call was sent whose response did not have it; 0: none.
	 * The response may have waited to be read since.
	 */
	uint64_t previous_call;
	/* The start, or the last call that found the source unavailable. */
	uint64_t connected_since;
	uint64_t resumed_at; /* end of the last pause of the process; 0: none */
	uint64_t paused_for; /* length of that pause */
};

/*
 * The longest age that is assumed for a change that happened before the start
 * or during a pause: a process counts as connected 4 s after either, and does
 * not use what is outdated for 5 s (JH_CHOOSE_OUTDATED_USEC).
 */
#define JH_PUBLICATION_MAX_AGE_USEC 1500000ULL

/* The time since which the change counts as published. */
uint64_t jh_publication_time(const struct jh_publication *p);

#endif
