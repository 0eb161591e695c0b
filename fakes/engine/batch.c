#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "batch.h"

struct batch {
	struct batch_config cfg;
	struct cache *cache;
	pthread_mutex_t *cache_lock;
	pthread_mutex_t lock; /* guards the lists and flags */
	pthread_cond_t cond;
	GQueue waiting; /* of struct sequence, by priority, then arrival */
	GQueue running;
	bool stopping;
	bool stalled;
	pthread_t thread;
};

static const char *const vocabulary[] = {"rinse", "dry", "the", "coat", "warm",
    "water", "petal", "lot", "grade", "check", "tray", "manual", "page", "safe",
    "towel", "batch"};

void
sequence_free(struct sequence *seq)
{
	if (seq == NULL)
		return;
	g_free(seq->id);
	g_free(seq->model);
	g_free(seq->chain);
	if (seq->text != NULL)
		g_string_free(seq->text, TRUE);
	g_free(seq);
}

/*
 * Writes the text of a token. It depends on the prompt and the position alone,
 * as with greedy decoding.
 */
static void
generate_token(
    const struct sequence *seq, uint64_t position, char *out, size_t max)
{
	uint64_t x = (seq->seed + position) * 0x9e3779b97f4a7c15ULL;

	snprintf(
	    out, max, "%s ", vocabulary[(x >> 40) % G_N_ELEMENTS(vocabulary)]);
}

static void
send_headers(struct sequence *seq, const char *content_type)
{
	char cached[32];

	snprintf(cached, sizeof(cached), "%llu",
	    (unsigned long long)seq->cached_tokens);
	jh_http_req_add_header(seq->req, "X-Cached-Tokens", cached);
	jh_http_req_add_header(seq->req, "Content-Type", content_type);
	jh_http_req_begin(seq->req, 200);
}

static void
send_token(struct sequence *seq)
{
	char word[32], event[256];
	int n;

	generate_token(seq, seq->position, word, sizeof(word));
	if (!seq->stream) {
		g_string_append(seq->text, word);
		return;
	}
	n = snprintf(event, sizeof(event),
	    "id: %llu\ndata: {\"id\":\"%.64s\",\"object\":"
	    "\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":"
	    "{\"content\":\"%s\"}}]}\n\n",
	    (unsigned long long)seq->position, seq->id, word);
	jh_http_req_write(seq->req, event, (size_t)n);
}

static void
send_whole(struct sequence *seq)
{
	json_t *root;
	char *body;

	root = json_pack("{s:s, s:s, s:s, s:[{s:i, s:{s:s, s:s}, s:s}], "
			 "s:{s:I, s:I, s:{s:I}}}",
	    "id", seq->id, "object", "chat.completion", "model", seq->model,
	    "choices", "index", 0, "message", "role", "assistant", "content",
	    seq->text->str, "finish_reason", "stop", "usage", "prompt_tokens",
	    (json_int_t)seq->prompt_tokens, "completion_tokens",
	    (json_int_t)seq->position, "prompt_tokens_details", "cached_tokens",
	    (json_int_t)seq->cached_tokens);
	body = json_dumps(root, JSON_COMPACT);
	send_headers(seq, "application/json");
	jh_http_req_write(seq->req, body, strlen(body));
	free(body);
	json_decref(root);
}

static void
finish(struct sequence *seq)
{
	static const char done[] = "data: [DONE]\n\n";

	if (g_atomic_int_get(&seq->cancelled)) {
		jh_http_req_abort(seq->req);
	} else if (seq->stream) {
		/* One that is resumed after its last token has no prefill. */
		if (!seq->prefilled)
			send_headers(seq, "text/event-stream");
		jh_http_req_write(seq->req, done, sizeof(done) - 1);
		jh_http_req_end(seq->req);
	} else {
		send_whole(seq);
		jh_http_req_end(seq->req);
	}
	jh_http_req_unref(seq->req);
}

static void
admit(struct batch *b)
{
	struct sequence *seq;
	size_t blocks;

	while (g_queue_get_length(&b->running) < (guint)b->cfg.max_batch &&
	       (seq = g_queue_pop_head(&b->waiting)) != NULL) {
		pthread_mutex_lock(b->cache_lock);
		blocks = cache_match(b->cache, seq->chain, seq->chain_len);
		pthread_mutex_unlock(b->cache_lock);
		seq->cached_tokens = blocks * (uint64_t)b->cfg.block_tokens;
		seq->prefill_left = seq->prompt_tokens - seq->cached_tokens;
		g_queue_push_tail(&b->running, seq);
	}
}

static void
end_prefill(struct batch *b, struct sequence *seq)
{
	pthread_mutex_lock(b->cache_lock);
	cache_store(b->cache, seq->chain, seq->chain_len, jh_now());
	pthread_mutex_unlock(b->cache_lock);
	seq->prefilled = true;
	if (seq->stream)
		send_headers(seq, "text/event-stream");
}

/*
 * Computes one step: prefill up to the chunk size, and a token of each sequence
 * whose prefill is complete. Returns the modelled duration in microseconds.
 */
static uint64_t
step(struct batch *b)
{
	uint64_t budget = (uint64_t)b->cfg.prefill_chunk, used = 0, n;
	uint64_t decoding = 0;
	struct sequence *seq;
	GList *l, *next;

	for (l = b->running.head; l != NULL; l = next) {
		next = l->next;
		seq = l->data;
		if (g_atomic_int_get(&seq->cancelled) ||
		    seq->position >= seq->max_tokens) {
			g_queue_delete_link(&b->running, l);
			finish(seq);
			continue;
		}
		if (seq->prefill_left > 0) {
			n = MIN(seq->prefill_left, budget);
			seq->prefill_left -= n;
			budget -= n;
			used += n;
			if (seq->prefill_left > 0)
				continue;
		}
		decoding++;
		if (!seq->prefilled)
			end_prefill(b, seq);
		seq->position++;
		send_token(seq);
	}
	return used * JH_USEC_PER_SEC / (uint64_t)b->cfg.prefill_per_sec +
	       (decoding > 0 ? (uint64_t)b->cfg.step_usec : 0) +
	       decoding * (uint64_t)b->cfg.step_per_seq_usec;
}

static void *
batch_main(void *arg)
{
	struct batch *b = arg;
	uint64_t usec, next = jh_now();

	pthread_mutex_lock(&b->lock);
	for (;;) {
		while (b->stalled || (!b->stopping && b->running.length == 0 &&
					 b->waiting.length == 0)) {
			pthread_cond_wait(&b->cond, &b->lock);
			next = jh_now();
		}
		if (b->stopping && b->running.length == 0 &&
		    b->waiting.length == 0)
			break;
		admit(b);
		usec = step(b);
		pthread_mutex_unlock(&b->lock);
		next += usec * (uint64_t)b->cfg.time_scale_percent / 100;
		if (next > jh_now())
			g_usleep(next - jh_now());
		else
			next = jh_now();
		pthread_mutex_lock(&b->lock);
	}
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

struct batch *
batch_create(const struct batch_config *cfg, struct cache *cache,
    pthread_mutex_t *cache_lock)
{
	struct batch *b = g_new0(struct batch, 1);

	b->cfg = *cfg;
	b->cache = cache;
	b->cache_lock = cache_lock;
	pthread_mutex_init(&b->lock, NULL);
	jh_cond_init(&b->cond);
	g_queue_init(&b->waiting);
	g_queue_init(&b->running);
	b->thread = jh_thread_create("batch", batch_main, b);
	return b;
}

static gint
by_priority(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct sequence *x = a, *y = b;

	/* Sequences of equal priority stay in order of arrival. */
	return x->priority <= y->priority ? -1 : 1;
}

void
batch_submit(struct batch *b, struct sequence *seq)
{
	pthread_mutex_lock(&b->lock);
	g_queue_insert_sorted(&b->waiting, seq, by_priority, NULL);
	pthread_cond_signal(&b->cond);
	pthread_mutex_unlock(&b->lock);
}

static bool
cancel_in_queue(GQueue *q, const char *id)
{
	struct sequence *seq;
	GList *l;

	for (l = q->head; l != NULL; l = l->next) {
		seq = l->data;
		if (strcmp(seq->id, id) == 0) {
			g_atomic_int_set(&seq->cancelled, 1);
			return true;
		}
	}
	return false;
}

bool
batch_cancel(struct batch *b, const char *id)
{
	bool found;

	pthread_mutex_lock(&b->lock);
	found = cancel_in_queue(&b->running, id) ||
		cancel_in_queue(&b->waiting, id);
	pthread_mutex_unlock(&b->lock);
	return found;
}

void
batch_counts(struct batch *b, unsigned int *running, unsigned int *waiting)
{
	pthread_mutex_lock(&b->lock);
	*running = b->running.length;
	*waiting = b->waiting.length;
	pthread_mutex_unlock(&b->lock);
}

void
batch_stall(struct batch *b, bool stalled)
{
	pthread_mutex_lock(&b->lock);
	b->stalled = stalled;
	pthread_cond_signal(&b->cond);
	pthread_mutex_unlock(&b->lock);
}

void
batch_destroy(struct batch *b)
{
	pthread_mutex_lock(&b->lock);
	b->stopping = true;
	b->stalled = false;
	pthread_cond_signal(&b->cond);
	pthread_mutex_unlock(&b->lock);
	pthread_join(b->thread, NULL);
	pthread_mutex_destroy(&b->lock);
	pthread_cond_destroy(&b->cond);
	g_free(b);
}
