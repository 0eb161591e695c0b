#include <pthread.h>

#include <jacinthhill/clock.h>

#include "agent/suspect.h"

/*
 * Whether the job is a stream that was broken off, by a crash that the entry
 * daemon counts, and resumed.
 */
static bool
is_resumed(const struct agent_job *j)
{
	return jh_job_headers_get_uint(j->work, JH_JOB_POSITION, 0) > 0 &&
	       jh_job_headers_get_uint(j->work, JH_JOB_CRASHES, 0) > 0;
}

/*
 * Returns the fingerprints of all jobs except for one. The caller holds
 * agent->lock.
 */
static GArray *
collect_fingerprints(struct agent *a, const struct agent_job *except)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct jh_fingerprint));
	struct agent_job *j;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		if (j != except)
			g_array_append_val(out, j->fingerprint);
	}
	return out;
}

/*
 * Returns the fingerprints of the started jobs; those that have had output, in
 * this run or in the one that it resumes, are the last *n_begun. The caller
 * holds agent->lock.
 */
static GArray *
collect_batch(struct agent *a, size_t *n_begun)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct jh_fingerprint));
	struct agent_job *j;
	GHashTableIter it;
	gpointer value;

	*n_begun = 0;
	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		if (j->started_at == 0)
			continue;
		pthread_mutex_lock(&j->lock);
		if (j->has_output || is_resumed(j)) {
			g_array_append_val(out, j->fingerprint);
			++*n_begun;
		} else {
			g_array_prepend_val(out, j->fingerprint);
		}
		pthread_mutex_unlock(&j->lock);
	}
	return out;
}

/*
 * Returns the parts of the started jobs without output: a part that crashes
 * engines does so before the first. The caller holds agent->lock.
 */
static GArray *
collect_parts(struct agent *a)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct jh_fingerprint));
	struct agent_job *j;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		pthread_mutex_lock(&j->lock);
		if (j->started_at != 0 && !j->has_output)
			g_array_append_vals(
			    out, j->parts.part, (guint)j->parts.n);
		pthread_mutex_unlock(&j->lock);
	}
	return out;
}

/*
 * Returns the fingerprints of the resumed streams that have gone on. The caller
 * holds agent->lock.
 */
static GArray *
collect_progressed(struct agent *a)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct jh_fingerprint));
	struct agent_job *j;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, a->jobs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		j = value;
		pthread_mutex_lock(&j->lock);
		if (j->has_output && is_resumed(j))
			g_array_append_val(out, j->fingerprint);
		pthread_mutex_unlock(&j->lock);
	}
	return out;
}

static const struct jh_fingerprint *
fingerprints(const GArray *list)
{
	return (const struct jh_fingerprint *)(const void *)list->data;
}

uint64_t
agent_report_engine_crash(struct agent_job *j)
{
	struct agent *a = j->agent;
	GArray *batch = NULL, *parts = NULL, *progressed = NULL;
	size_t n_begun = 0;
	uint64_t seq;
	guint i;

	pthread_mutex_lock(&a->lock);
	if (j->started_at > a->crashed_at) {
		a->crashed_at = jh_now();
		a->crash_seq++;
		batch = collect_batch(a, &n_begun);
		parts = collect_parts(a);
		progressed = collect_progressed(a);
	}
	seq = a->crash_seq;
	pthread_mutex_unlock(&a->lock);
	if (batch == NULL)
		return seq;
	/* Reports of their earlier crashes may have come after the output. */
	for (i = 0; i < progressed->len; i++)
		crash_log_progressed(a->crashes, fingerprints(progressed)[i]);
	crash_log_crashed(a->crashes, a->incarnation, seq, fingerprints(batch),
	    batch->len, n_begun);
	crash_log_parts_crashed(
	    a->crashes, a->incarnation, seq, fingerprints(parts), parts->len);
	g_array_free(batch, TRUE);
	g_array_free(parts, TRUE);
	g_array_free(progressed, TRUE);
	jh_feed_pull_from_random_peer(a->feed);
	return seq;
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
	others = collect_fingerprints(a, j);
	verdict = crash_log_may_run(
	    a->crashes, j->fingerprint, fingerprints(others), others->len);
	g_array_free(others, TRUE);
	/* Only the entry daemon knows how far the stream has got. */
	if (verdict == JH_SUSPECT_REFUSE && is_resumed(j))
		return JH_SUSPECT_RUN;
	return verdict;
}

void
agent_report_output(struct agent_job *j)
{
	struct agent *a = j->agent;

	crash_log_parts_succeeded(a->crashes, j->parts.part, j->parts.n);
	if (is_resumed(j))
		crash_log_progressed(a->crashes, j->fingerprint);
}

bool
agent_refuses_parts(const struct agent_job *j)
{
	return jh_job_headers_get_uint(j->work, JH_JOB_POSITION, 0) == 0 &&
	       crash_log_refuses_parts(
		   j->agent->crashes, j->parts.part, j->parts.n);
}
