#ifndef FEED_READ_PACE_H
#define FEED_READ_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * When the instance list is read next. Intervals double from the first to the
 * longest with each read that succeeds, and are drawn between 3/4 and 5/4 of
 * their length so that daemons that started together do not read together.
 * Pure; one thread.
 */
struct read_pace;

/* The first read is due at once. Intervals are in microseconds. */
struct read_pace *read_pace_create(
    uint64_t first, uint64_t longest, guint32 seed);
void read_pace_destroy(struct read_pace *p);

/* Whether a read is due; if so, the next one is scheduled. */
bool read_pace_due(struct read_pace *p, uint64_t now);
void read_pace_succeeded(struct read_pace *p);
/* Begins again with the first interval: what the list said does not hold. */
void read_pace_reset(struct read_pace *p);

#endif
