#ifndef MEMBER_POSITION_H
#define MEMBER_POSITION_H

#include <stdint.h>

/*
 * A point in the history of the store. When the store comes back from an older
 * copy of itself, a new era begins, in which revisions are given out again.
 */
struct jh_position {
	uint64_t era; /* 0: not known, or the store has no eras */
	uint64_t revision; /* 0: none */
};

/* Returns less than, equal to or greater than 0, as a is before b. */
int jh_position_compare(
    const struct jh_position *a, const struct jh_position *b);

#endif
