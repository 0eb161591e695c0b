#include <pthread.h>

#include <jacinthhill/clock.h>

#include "agent/suspect.h"

/*
 * Returns the fingerprints of all jobs, or only of those started, except for
 * one. The caller holds agent->lock.
 */
static GArray *
collect_fingerprints(
    struct agent *a, const struct agent_job *except, bool only_started)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct jh_fingerprint));
	struct agent_job *j;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		if (j != except && (!only_started || j->started_at != 0))
			g_array_append_val(out, j->fingerprint);
	}
	return out;
}

void
agent_report_engine_crash(struct agent_job *j)
{
	struct agent *a = j->agent;
	GArray *batch = NULL;
	uint64_t seq = 0;

	pthread_mutex_lock(&a->lock);
	if (j->started_at > a->crashed_at) {
		a->crashed_at = jh_now();
		seq = ++a->crash_seq;
		batch = collect_fingerprints(a, NULL, true);
	}
	pthread_mutex_unlock(&a->lock);
	if (batch == NULL)
		return;
	crash_log_crashed(a->crashes, a->incarnation, seq,
	    (const struct jh_fingerprint *)(const void *)batch->data,
	    batch->len);
	g_array_free(batch, TRUE);
	jh_feed_pull_from_random_peer(a->feed);
}

enum jh_suspect_decision
agent_may_run(struct agent_job *j)
{
	struct agent *a = j->agent;
	enum jh_suspect_decision verdict;
	GArray *others;

	/* Crashes are rare, so this spares nearly all requests the search. */
	if (crash_log_len(a->crashes) == 0)
		return JH_SUSPECT_RUN;
	others = collect_fingerprints(a, j, false);
	verdict = crash_log_may_run(a->crashes, j->fingerprint,
	    (const struct jh_fingerprint *)(const void *)others->data,
	    others->len);
	g_array_free(others, TRUE);
	return verdict;
}
