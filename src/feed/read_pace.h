#ifndef FEED_READ_PACE_H
#define FEED_READ_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Schedules the reads of the instance list. The poll interval doubles from the
 * minimum to the maximum with each read that succeeds. Each wait is drawn
 * between 3/4 and 5/4 of the interval, so that daemons that started together do
 * not read together. Does no I/O; not thread safe.
 */
struct read_pace;

/* The first read is due at once. Intervals are in microseconds. */
struct read_pace *read_pace_create(
    uint64_t min_interval, uint64_t max_interval, guint32 seed);
void read_pace_destroy(struct read_pace *t);

/* Returns whether a read is due; if so, schedules the next one. */
bool read_pace_due(struct read_pace *t, uint64_t now);
void read_pace_succeeded(struct read_pace *t);
/* Resets the interval and makes a read due, as the last list is outdated. */
void read_pace_reset(struct read_pace *t);

#endif
