#ifndef ENTRY_REFUSAL_LOG_H
#define ENTRY_REFUSAL_LOG_H

#include "entry/entry.h"

/* Counts refusals and writes them to the store about once a minute. */
struct refusal_log;

struct refusal_log *refusal_log_create(const struct entry *e);
void refusal_log_destroy(struct refusal_log *l);

void refusal_log_count(
    struct refusal_log *l, const char *owner, const char *class_name);
/* Records that another entry daemon replied to this one or called it. */
void refusal_log_peer_seen(
    struct refusal_log *l, const char *instance, uint64_t incarnation);

/* Starts the writes that are due; to be called from the control thread. */
void refusal_log_tick(struct refusal_log *l);

/* To be called after the last refusal; makes all counts due at once. */
void refusal_log_close(struct refusal_log *l);
/* Whether all counts are written; only after closing. */
bool refusal_log_idle(struct refusal_log *l);

/* Returns the number of hours whose counts were dropped. */
uint64_t refusal_log_dropped(struct refusal_log *l);

#endif
