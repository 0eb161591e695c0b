#include <glib.h>

#include <jacinthhill/clock.h>

#include "queue_engine.h"

/* Iterations of at most 40 ms keep the time between tokens within 49 ms. */
#define ITERATION_USEC 12000.0
#define OUTPUT_TOKEN_USEC 500.0
#define PROMPT_TOKEN_USEC 80.0
#define CHUNK_TOKENS 256
/* One way between an agent and the engine on its instance. */
#define HOP_USEC 500

void
queue_engine_start(struct queue_engine *e, uint64_t now,
    const struct queue_engine_request *request)
{
	g_assert(e->len < QUEUE_SLOTS);
	e->request[e->len] = *request;
	e->request[e->len].visible_at = now + HOP_USEC;
	e->chunk[e->len++] = 0;
}

static uint32_t
assign_chunk(
    struct queue_engine *e, uint64_t now, enum jh_rank rank, uint32_t room)
{
	unsigned int i;

	for (i = 0; i < e->len; i++) {
		if (e->request[i].rank != rank ||
		    e->request[i].visible_at > now)
			continue;
		e->chunk[i] = MIN(e->request[i].prefill_left, room);
		room -= e->chunk[i];
	}
	return room;
}

bool
queue_engine_begin(struct queue_engine *e, uint64_t now)
{
	uint32_t room = CHUNK_TOKENS, decoding = 0;
	unsigned int i, visible = 0;
	double t;

	if (e->busy)
		return false;
	for (i = 0; i < e->len; i++) {
		e->chunk[i] = 0;
		visible += e->request[i].visible_at <= now;
		decoding += e->request[i].visible_at <= now &&
			    e->request[i].prefill_left == 0;
	}
	if (visible == 0)
		return false;
	room = assign_chunk(e, now, JH_RANK_URGENT, room);
	room = assign_chunk(e, now, JH_RANK_BACKGROUND, room);
	t = ITERATION_USEC + OUTPUT_TOKEN_USEC * decoding +
	    PROMPT_TOKEN_USEC * (CHUNK_TOKENS - room);
	e->busy = true;
	e->in_iteration = e->len;
	e->iteration_end = now + (uint64_t)(t * e->slowdown);
	return true;
}

/* Advances a request; false if there is no progress to report. */
static bool
advance(
    struct queue_engine_request *w, uint32_t chunk, struct queue_progress *out)
{
	if (w->prefill_left > 0) {
		w->prefill_left -= chunk;
		if (w->prefill_left > 0)
			return false;
	}
	w->decoded++;
	*out = (struct queue_progress){.id = w->id,
	    .first_token = w->decoded == 1,
	    .finished = w->decoded >= w->decode,
	    .decoded = w->decoded};
	return out->first_token || out->finished;
}

unsigned int
queue_engine_end(struct queue_engine *e, struct queue_progress out[QUEUE_SLOTS])
{
	uint64_t end = e->iteration_end;
	unsigned int i, kept = 0, n = 0;
	bool done;

	e->busy = false;
	for (i = 0; i < e->len; i++) {
		done = false;
		/* Requests that arrived meanwhile are not part of it. */
		if (i < e->in_iteration && e->request[i].visible_at < end &&
		    (e->request[i].prefill_left == 0 || e->chunk[i] > 0) &&
		    advance(&e->request[i], e->chunk[i], &out[n])) {
			done = out[n].finished;
			n++;
		}
		if (!done)
			e->request[kept++] = e->request[i];
	}
	e->len = kept;
	return n;
}

uint64_t
queue_engine_wake_at(const struct queue_engine *e)
{
	uint64_t at = JH_NEVER;
	unsigned int i;

	for (i = 0; i < e->len; i++)
		at = MIN(at, e->request[i].visible_at);
	return at;
}
