#include <pthread.h>

#include <jacinthhill/clock.h>

#include "agent/backend_crash.h"

void
agent_backend_crashed(
    struct agent *a, uint64_t sent, const struct jh_job_parts *parts)
{
	uint64_t seq;

	pthread_mutex_lock(&a->lock);
	if (sent > a->crashed_at) {
		a->crashed_at = jh_now();
		a->crash_seq++;
		a->backend_down = true;
	}
	seq = a->crash_seq;
	pthread_mutex_unlock(&a->lock);
	crash_log_call_crashed(
	    a->crashes, sent, a->incarnation, seq, parts->part, parts->n);
	jh_feed_pull_from_random_peer(a->feed);
}

void
agent_backend_unreachable(struct agent *a)
{
	uint64_t seq = 0;

	pthread_mutex_lock(&a->lock);
	if (!a->backend_down) {
		a->backend_down = true;
		a->crashed_at = jh_now();
		seq = ++a->crash_seq;
	}
	pthread_mutex_unlock(&a->lock);
	if (seq != 0)
		crash_log_backend_ended(a->crashes, a->incarnation, seq);
}

void
agent_backend_responded(struct agent *a, const struct jh_job_parts *parts)
{
	pthread_mutex_lock(&a->lock);
	a->backend_down = false;
	pthread_mutex_unlock(&a->lock);
	crash_log_parts_succeeded(a->crashes, parts->part, parts->n);
}
