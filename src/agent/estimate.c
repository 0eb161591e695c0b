#include <stdio.h>

#include <jacinthhill/clock.h>

#include "agent/estimate.h"

/* Output tokens assumed when the entry daemon gives no estimate. */
#define DEFAULT_DECODE_TOKENS 64

/* Limit of the time to first token when the entry daemon gives none. */
#define DEFAULT_BUDGET_MS 600000

/*
 * Returns the prompt tokens that the engine's cache is not known to hold. The
 * caller holds a->lock.
 */
static uint32_t
uncached_tokens(struct agent *a, struct agent_job *j)
{
	uint64_t cached = 0;

	if (a->cache != NULL && j->block_hashes != NULL)
		cached = jh_cacheview_cached_tokens(a->cache,
		    (const uint64_t *)(const void *)j->block_hashes->data,
		    j->block_hashes->len);
	return (uint32_t)MIN(
	    j->prompt_tokens - MIN(cached, j->prompt_tokens), UINT32_MAX);
}

struct jh_queue_item
agent_job_item(struct agent *a, struct agent_job *j)
{
	const struct jh_job_headers *w = j->work;
	uint64_t budget =
	    jh_job_headers_get_uint(w, JH_JOB_BUDGET_MS, DEFAULT_BUDGET_MS);

	return (struct jh_queue_item){.id = j->id,
	    .org = jh_str_from(jh_job_headers_get(w, JH_JOB_ORG)),
	    .weight =
		(unsigned int)jh_job_headers_get_uint(w, JH_JOB_WEIGHT, 1),
	    .rank = g_strcmp0(jh_job_headers_get(w, JH_JOB_RANK), "urgent") == 0
			? JH_RANK_URGENT
			: JH_RANK_BACKGROUND,
	    .deadline = jh_now() + budget * JH_USEC_PER_MSEC,
	    .prefill = uncached_tokens(a, j),
	    .decode = (uint32_t)jh_job_headers_get_uint(
		w, JH_JOB_DECODE, DEFAULT_DECODE_TOKENS),
	    .data = j};
}

bool
agent_over_max_wait(struct agent *a, const struct jh_queue_item *item)
{
	const struct agent_job *j = item->data;
	uint64_t now = jh_now(), max_ms;

	max_ms =
	    jh_job_headers_get_uint(j->work, JH_JOB_MAX_WAIT_MS, UINT64_MAX);
	if (max_ms == UINT64_MAX)
		return false;
	return jh_queue_estimate(a->queue, now, item) >
	       now + max_ms * JH_USEC_PER_MSEC;
}

void
agent_job_add_refusal_headers(
    struct agent *a, struct agent_job *j, struct jh_http_req *req)
{
	uint64_t uncached, wait, now;
	struct jh_queue_item item;
	char text[32];

	pthread_mutex_lock(&a->lock);
	uncached = uncached_tokens(a, j);
	item = agent_job_item(a, j);
	item.prefill = 0;
	now = jh_now();
	wait = jh_queue_estimate(a->queue, now, &item);
	pthread_mutex_unlock(&a->lock);
	snprintf(text, sizeof(text), "%llu",
	    (unsigned long long)(j->prompt_tokens - uncached));
	jh_http_req_add_header(req, "Jh-Cached", text);
	snprintf(text, sizeof(text), "%llu",
	    (unsigned long long)((wait - MIN(now, wait)) / JH_USEC_PER_MSEC));
	jh_http_req_add_header(req, "Jh-Wait", text);
	agent_job_add_width(j, req);
}

struct jh_fingerprint
agent_fingerprint(const struct jh_job_headers *w)
{
	const char *text = jh_job_headers_get(w, JH_JOB_FINGERPRINT);
	struct jh_fingerprint fingerprint = {0, 0};
	char *end;

	if (text == NULL)
		return fingerprint;
	fingerprint.high = g_ascii_strtoull(text, &end, 16);
	if (*end == ':')
		fingerprint.low = g_ascii_strtoull(end + 1, NULL, 16);
	return fingerprint;
}

uint32_t
agent_record_width(struct agent *a, const struct jh_job_headers *w,
    const struct jh_prefix *prefix)
{
	uint64_t width = jh_job_headers_get_uint(w, JH_JOB_WIDTH, 1);
	uint32_t widest;

	pthread_mutex_lock(&a->lock);
	widest = agent_widths_record(a->widths, jh_now(),
	    jh_prefix_key(prefix, 0), (uint32_t)MIN(width, UINT32_MAX));
	pthread_mutex_unlock(&a->lock);
	return widest;
}
