#include <jacinthhill/clock.h>

#include "overload_engine.h"

#define MAX_QUEUE 16
#define CHUNK 512
#define STEP_USEC 3400
#define TOKENS_PER_MSEC 44.2

static struct engine_job *
job_at(const struct engine *e, guint i)
{
	return g_ptr_array_index(e->jobs, i);
}

bool
engine_accepts(const struct engine *e)
{
	return e->jobs->len < ENGINE_SLOTS + MAX_QUEUE;
}

/* The most urgent in the queue, and the oldest of these. */
static struct engine_job *
next_queued(const struct engine *e)
{
	struct engine_job *best = NULL;
	guint i;

	for (i = 0; i < e->jobs->len; i++)
		if (!job_at(e, i)->admitted &&
		    (best == NULL || job_at(e, i)->rank < best->rank))
			best = job_at(e, i);
	return best;
}

static void
fill_slots(struct engine *e)
{
	uint32_t held = 0, running = 0;
	struct engine_job *j;
	guint i;

	for (i = 0; i < e->jobs->len; i++) {
		j = job_at(e, i);
		running += j->admitted;
		held += j->admitted ? j->held + j->done : 0;
	}
	while ((j = next_queued(e)) != NULL && running < ENGINE_SLOTS &&
	       held + j->held < ENGINE_CAPACITY) {
		j->admitted = true;
		running++;
		held += j->held;
	}
	for (i = e->jobs->len; i > 0 && held > ENGINE_CAPACITY; i--) {
		j = job_at(e, i - 1);
		if (!j->admitted || j->rank == 0)
			continue;
		held -= j->held + j->done;
		j->admitted = false;
		j->left = j->own + j->done;
	}
}

void
engine_run(
    struct engine *e, uint64_t now, const struct engine_ops *ops, void *arg)
{
	uint32_t room = CHUNK, part, steps = 0, rank;
	struct engine_job *j;
	guint i;

	if (now < MAX(e->free_at, e->down_until) || e->jobs->len == 0)
		return;
	fill_slots(e);
	for (rank = 0; rank < 2; rank++)
		for (i = 0; i < e->jobs->len; i++) {
			j = job_at(e, i);
			if (!j->admitted || j->rank != rank)
				continue;
			part = MIN(j->left, room);
			j->left -= part;
			room -= part;
			if (j->left > 0)
				continue;
			steps += part == 0;
			j->done++;
			if (!j->begun)
				ops->first_event(arg, j);
			j->begun = true;
		}
	e->free_at = now + JH_USEC_PER_MSEC +
		     (uint64_t)(((CHUNK - room) * 1000 / TOKENS_PER_MSEC +
				    steps * STEP_USEC) /
				e->speed);
	for (i = e->jobs->len; i > 0; i--)
		if (job_at(e, i - 1)->done >= job_at(e, i - 1)->output)
			ops->ended(arg, job_at(e, i - 1));
}
