#ifndef ENTRY_REFUSAL_LOG_H
#define ENTRY_REFUSAL_LOG_H

#include "entry/entry.h"

/* Counts refusals and writes them to the store about once a minute. */
struct refusal_log;

struct refusal_log *refusal_log_create(const struct entry *e);
void refusal_log_destroy(struct refusal_log *g);

void refusal_log_count(
    struct refusal_log *g, const char *owner, const char *class_name);
/* An entry daemon answered us or asked us. */
void refusal_log_seen(
    struct refusal_log *g, const char *instance, uint64_t incarnation);

/* Starts the writes that are due; call it from the control thread. */
void refusal_log_tick(struct refusal_log *g);

/* Nothing more is refused; the last counts are due at once. */
void refusal_log_close(struct refusal_log *g);
/* After closing: everything is written. */
bool refusal_log_idle(struct refusal_log *g);

/* Hours whose counts were dropped. */
uint64_t refusal_log_dropped(struct refusal_log *g);

#endif
