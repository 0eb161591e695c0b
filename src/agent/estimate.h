#ifndef AGENT_ESTIMATE_H
#define AGENT_ESTIMATE_H

#include <jacinthhill/prefix.h>

#include "agent/job.h"

/* The request as the rank queue sees it. Holds a->lock. */
struct jh_queue_item agent_job_item(struct agent *a, struct agent_job *j);

/*
 * Whether the first token is expected later than the entry daemon's bound, so
 * that it should ask another worker. Holds a->lock.
 */
bool agent_over_max_wait(struct agent *a, const struct jh_queue_item *item);

/* What a refused entry daemon needs to choose among those that refused. */
void agent_job_add_offer(
    struct agent *a, struct agent_job *j, struct jh_http_req *req);

/* "HIGH:LOW" in hexadecimal; zero when absent. */
struct jh_fingerprint agent_fingerprint(const struct jh_work *w);

/* Notes the entry daemon's width; returns the widest of late. */
uint32_t agent_note_width(
    struct agent *a, const struct jh_work *w, const struct jh_prefix *prefix);

#endif
