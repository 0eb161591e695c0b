#include <jacinthhill/clock.h>

#include "admit/queue_state.h"

static const char *const reason_names[JH_QUEUE_REASONS] = {
    [JH_QUEUE_ACCEPTED] = "accepted",
    [JH_QUEUE_DEADLINE] = "deadline_unreachable",
    [JH_QUEUE_FULL] = "queue_full",
    [JH_QUEUE_DISPLACED] = "displaced",
    [JH_QUEUE_EXPIRED] = "expired",
    [JH_QUEUE_DUPLICATE] = "duplicate",
};

static const char *const count_names[JH_RANKS][JH_QUEUE_REASONS] = {
    [JH_RANK_URGENT] = {"urgent_accepted", "urgent_deadline_unreachable",
	"urgent_queue_full", "urgent_displaced", "urgent_expired",
	"urgent_duplicate"},
    [JH_RANK_BACKGROUND] = {"background_accepted",
	"background_deadline_unreachable", "background_queue_full",
	"background_displaced", "background_expired", "background_duplicate"},
};

const char *
jh_queue_reason_name(enum jh_queue_reason reason)
{
	return (unsigned int)reason < JH_QUEUE_REASONS ? reason_names[reason]
						       : "unknown";
}

void
jh_queue_visit(const struct jh_queue *q,
    void (*visit)(void *arg, const char *name, uint64_t value), void *arg)
{
	const struct jh_queue_rank *u = &q->ranks[JH_RANK_URGENT];
	const struct jh_queue_rank *b = &q->ranks[JH_RANK_BACKGROUND];
	int r, i;

	visit(arg, "urgent_queued", u->queued.count);
	visit(arg, "urgent_queued_cost", u->queued.cost);
	visit(arg, "urgent_running", u->running);
	visit(arg, "background_queued", b->queued.count);
	visit(arg, "background_queued_cost", b->queued.cost);
	visit(arg, "background_running", b->running);
	visit(
	    arg, "urgent_dispatched_cost", q->dispatched_cost[JH_RANK_URGENT]);
	visit(arg, "background_dispatched_cost",
	    q->dispatched_cost[JH_RANK_BACKGROUND]);
	visit(arg, "background_slots", jh_queue_background_slots(q));
	visit(arg, "urgent_in_prefill", u->in_prefill);
	visit(arg, "background_in_prefill", b->in_prefill);
	visit(arg, "prefill_base_usec", (uint64_t)q->engine.prefill_fit.base);
	visit(arg, "prefill_nsec_per_token",
	    (uint64_t)(q->engine.prefill_fit.slope * 1000));
	visit(arg, "decode_usec_per_token",
	    (uint64_t)q->engine.token_interval.value);
	for (r = 0; r < JH_RANKS; r++) {
		for (i = 0; i < JH_QUEUE_REASONS; i++)
			visit(arg, count_names[r][i], q->counts[r][i]);
	}
}

void
jh_queue_visit_orgs(const struct jh_queue *q,
    void (*visit)(void *arg, const struct jh_queue_org *org), void *arg)
{
	struct jh_queue_org org;
	const struct jh_queue_flow *f;
	GHashTableIter it;
	void *key;
	int r;

	for (r = 0; r < JH_RANKS; r++) {
		g_hash_table_iter_init(&it, q->ranks[r].flows);
		while (g_hash_table_iter_next(&it, &key, NULL)) {
			f = key;
			if (f->running == 0 && f->tree.root == NULL)
				continue;
			org = (struct jh_queue_org){
			    .org = {f->org, f->org_len},
			    .rank = r,
			    .queued = jh_queue_flow_queued(f).count,
			    .queued_cost = jh_queue_flow_queued(f).cost,
			    .running = f->running,
			};
			visit(arg, &org);
		}
	}
}
