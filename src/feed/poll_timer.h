#ifndef FEED_POLL_TIMER_H
#define FEED_POLL_TIMER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Schedules the reads of the instance list. The poll interval doubles from the
 * minimum to the maximum with each read that succeeds. Each wait is drawn
 * between 3/4 and 5/4 of the interval, so that daemons that started together do
 * not read together. Does no I/O; not thread safe.
 */
struct poll_timer;

/* The first read is due at once. Intervals are in microseconds. */
struct poll_timer *poll_timer_create(
    uint64_t min_interval, uint64_t max_interval, guint32 seed);
void poll_timer_destroy(struct poll_timer *t);

/* Returns whether a read is due; if so, schedules the next one. */
bool poll_timer_due(struct poll_timer *t, uint64_t now);
void poll_timer_succeeded(struct poll_timer *t);
/* Resets the interval and makes a read due, as the last list is outdated. */
void poll_timer_reset(struct poll_timer *t);

#endif
