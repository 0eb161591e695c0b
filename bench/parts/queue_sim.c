#include <jacinthhill/clock.h>

#include "queue_engine.h"
#include "queue_sim.h"

/* Time at the start of the run that is not measured. */
#define WARM_UP_USEC (60 * JH_USEC_PER_SEC)
#define PREFILL_WEIGHT 1
#define DECODE_WEIGHT 4

struct sim {
	const struct queue_policy *policy;
	void *q;
	struct queue_engine engine;
	/* Queued and running requests, by id. */
	GHashTable *requests;
	struct queue_result *result;
};

static void
groups_of(struct queue_result *r, const struct queue_request *req,
    struct queue_group *out[2])
{
	out[0] = &r->rank[req->item.rank];
	out[1] = NULL;
	if (req->item.rank == JH_RANK_URGENT)
		out[1] = req->org < QUEUE_LARGE_ORGS ? &r->large : &r->small;
}

static void
count_arrival(
    struct sim *s, const struct queue_request *req, enum jh_queue_reason reason)
{
	struct queue_group *g[2];
	int i;

	groups_of(s->result, req, g);
	for (i = 0; i < 2 && g[i] != NULL; i++) {
		g[i]->arrived += req->arrived >= WARM_UP_USEC &&
				 reason != JH_QUEUE_DISPLACED &&
				 reason != JH_QUEUE_EXPIRED;
		if (req->arrived >= WARM_UP_USEC)
			g[i]->refused[reason]++;
	}
}

static void
count_first_token(struct sim *s, const struct queue_request *req, uint64_t now)
{
	struct queue_group *g[2];
	double ms = (double)(now - req->arrived) / JH_USEC_PER_MSEC;
	int i;

	if (req->arrived < WARM_UP_USEC)
		return;
	groups_of(s->result, req, g);
	for (i = 0; i < 2 && g[i] != NULL; i++) {
		g_array_append_val(g[i]->ttft, ms);
		g[i]->on_time += now <= req->item.deadline;
	}
}

static void
count_finished(struct sim *s, const struct queue_request *req)
{
	struct queue_group *g[2];
	int i;

	if (req->arrived < WARM_UP_USEC)
		return;
	groups_of(s->result, req, g);
	for (i = 0; i < 2 && g[i] != NULL; i++)
		g[i]->cost += (uint64_t)PREFILL_WEIGHT * req->item.prefill +
			      (uint64_t)DECODE_WEIGHT * req->output_tokens;
}

static void
arrive(struct sim *s, uint64_t now, const struct queue_request *req)
{
	struct queue_request *copy;
	enum jh_queue_reason reason;

	reason = s->policy->offer(s->q, now, &req->item);
	count_arrival(s, req, reason);
	if (reason != JH_QUEUE_ACCEPTED)
		return;
	copy = g_memdup2(req, sizeof(*req));
	g_hash_table_insert(s->requests, &copy->item.id, copy);
}

static void
dispatch(struct sim *s, uint64_t now)
{
	struct jh_queue_refused refused;
	struct jh_queue_item item;
	struct queue_request *req;

	s->policy->expire(s->q, now);
	while (s->policy->next(s->q, now, &item)) {
		req = g_hash_table_lookup(s->requests, &item.id);
		queue_engine_start(&s->engine, now,
		    &(struct queue_engine_request){.id = item.id,
			.rank = item.rank,
			.prefill_left = item.prefill,
			.decode = req->output_tokens});
	}
	while (s->policy->take_refused(s->q, &refused)) {
		req = g_hash_table_lookup(s->requests, &refused.item.id);
		count_arrival(s, req, refused.reason);
		g_hash_table_remove(s->requests, &refused.item.id);
	}
}

static void
end_iteration(struct sim *s, uint64_t now)
{
	struct queue_progress progress[QUEUE_SLOTS];
	unsigned int i, n = queue_engine_end(&s->engine, progress);
	struct queue_request *req;

	for (i = 0; i < n; i++) {
		req = g_hash_table_lookup(s->requests, &progress[i].id);
		if (progress[i].first_token) {
			count_first_token(s, req, now);
			s->policy->first_token(s->q, now, progress[i].id);
		}
		if (progress[i].finished) {
			count_finished(s, req);
			s->policy->finished(
			    s->q, now, progress[i].id, progress[i].decoded);
			g_hash_table_remove(s->requests, &progress[i].id);
		}
	}
}

/* Time at which the engine next has something to do, or JH_NEVER. */
static uint64_t
engine_time(const struct queue_engine *e, uint64_t now)
{
	uint64_t wake;

	if (e->busy)
		return e->iteration_end;
	wake = queue_engine_wake_at(e);
	return wake == JH_NEVER ? JH_NEVER : MAX(wake, now);
}

static void
init(struct sim *s, const struct queue_policy *p, struct queue_result *out)
{
	int r;

	*s = (struct sim){.policy = p, .q = p->create(), .result = out};
	s->engine.slowdown = 1;
	s->requests =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	*out = (struct queue_result){0};
	for (r = 0; r < JH_RANKS; r++)
		out->rank[r].ttft = g_array_new(FALSE, FALSE, sizeof(double));
	out->small.ttft = g_array_new(FALSE, FALSE, sizeof(double));
	out->large.ttft = g_array_new(FALSE, FALSE, sizeof(double));
}

void
queue_sim_run(const struct queue_policy *p, const struct queue_load *l,
    uint64_t seed, double seconds, struct queue_result *out)
{
	uint64_t end = (uint64_t)(seconds * JH_USEC_PER_SEC);
	uint64_t now = 0, arrival = 0, id = 1, engine, wake;
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	struct queue_request req;
	struct sim s;

	init(&s, p, out);
	out->seconds = (double)(end - WARM_UP_USEC) / JH_USEC_PER_SEC;
	queue_load_draw(l, rand, &arrival, id++, &req);
	while (now < end) {
		engine = engine_time(&s.engine, now);
		wake = MAX(p->wake_at(s.q), now);
		now = MIN(MIN(arrival, engine), wake);
		if (s.engine.busy && now == s.engine.iteration_end)
			end_iteration(&s, now);
		if (now == arrival) {
			arrive(&s, now, &req);
			queue_load_draw(l, rand, &arrival, id++, &req);
		}
		if (l->slowdown > 0 && now > end / 2)
			s.engine.slowdown = l->slowdown;
		dispatch(&s, now);
		queue_engine_begin(&s.engine, now);
	}
	p->destroy(s.q);
	g_hash_table_destroy(s.requests);
	g_rand_free(rand);
}

double
queue_sim_capacity(uint64_t seed)
{
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	struct queue_engine e = {.slowdown = 1};
	struct queue_progress progress[QUEUE_SLOTS];
	struct queue_request req;
	uint64_t now = 0, id = 1, done = 0;
	enum jh_rank rank;
	unsigned int i, n;

	while (now < 3600 * JH_USEC_PER_SEC) {
		while (e.len < QUEUE_SLOTS) {
			rank = g_rand_double(rand) < queue_urgent_share
				   ? JH_RANK_URGENT
				   : JH_RANK_BACKGROUND;
			queue_request_draw(rand, rank, &req);
			queue_engine_start(&e, now,
			    &(struct queue_engine_request){.id = id,
				.rank = rank,
				.prefill_left = req.item.prefill,
				.decode = req.output_tokens});
			id++;
		}
		if (!queue_engine_begin(&e, now)) {
			now = queue_engine_wake_at(&e);
			continue;
		}
		now = e.iteration_end;
		n = queue_engine_end(&e, progress);
		for (i = 0; i < n; i++)
			done += progress[i].finished;
	}
	g_rand_free(rand);
	return (double)done * JH_USEC_PER_SEC / (double)now;
}

static int
compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

double
queue_group_quantile(const struct queue_group *g, double part)
{
	guint n = g->ttft->len;

	if (n == 0)
		return 0;
	g_array_sort(g->ttft, compare);
	return g_array_index(g->ttft, double, (guint)(part * (n - 1)));
}

void
queue_result_clear(struct queue_result *r)
{
	int i;

	for (i = 0; i < JH_RANKS; i++)
		g_array_free(r->rank[i].ttft, TRUE);
	g_array_free(r->small.ttft, TRUE);
	g_array_free(r->large.ttft, TRUE);
}
