#ifndef AGENT_ESTIMATE_H
#define AGENT_ESTIMATE_H

#include <jacinthhill/prefix.h>

#include "agent/job.h"

/* Returns the queue item of the job. The caller holds a->lock. */
struct jh_queue_item agent_job_item(struct agent *a, struct agent_job *j);

/*
 * Whether the first token is expected later than the entry daemon's limit, so
 * that the daemon should try another worker. The caller holds a->lock.
 */
bool agent_over_max_wait(struct agent *a, const struct jh_queue_item *item);

/*
 * Adds the headers by which the entry daemon chooses among the workers that
 * refused: cached tokens, estimated wait and width of the prefix.
 */
void agent_job_add_refusal_headers(
    struct agent *a, struct agent_job *j, struct jh_http_req *req);

/*
 * Parses the fingerprint header, "HIGH:LOW" in hexadecimal; zero when absent.
 */
struct jh_fingerprint agent_fingerprint(const struct jh_job_headers *w);

/*
 * Records the width of the prefix that the entry daemon sent and returns the
 * greatest recent one.
 */
uint32_t agent_record_width(struct agent *a, const struct jh_job_headers *w,
    const struct jh_prefix *prefix);

#endif
