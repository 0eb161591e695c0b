#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "base/event.h"
#include "entry/job.h"
#include "entry/revision_wait.h"
#include "work/job_headers.h"

#define CHAT_PATH "/v1/jobs/chat"

/* Time limit of one attempt. */
#define ATTEMPT_USEC (600 * JH_USEC_PER_SEC)

/* Limit of consecutive waits for a worker, each of about a second. */
#define MAX_WORKER_WAITS 10

bool
entry_job_has_output(const struct entry_job *j)
{
	return j->relay != NULL && jh_relay_position(j->relay) > 0;
}

static struct jh_job_headers *
make_job_headers(struct entry_job *j, const struct jh_candidate *c)
{
	char levels[JH_PREFIX_HEADER_SIZE], fingerprint[34];
	char parts[JH_JOB_PARTS_SIZE];
	struct jh_job_headers *w = jh_job_headers_create();
	uint64_t now = jh_now();
	uint64_t remaining =
	    j->first_token_deadline > now ? j->first_token_deadline - now : 0;

	jh_prefix_format(&j->prefix, levels);
	jh_job_headers_set(w, JH_JOB_REQUEST_ID, j->rid);
	jh_job_headers_set(w, JH_JOB_ORG, j->auth.org->name);
	jh_job_headers_set(w, JH_JOB_CLASS, j->auth.rule->class_name);
	jh_job_headers_set(w, JH_JOB_RANK, request_rank_name(j->auth.rank));
	/* A stream that has begun is resumed, however late. */
	if (!j->reply_begun)
		jh_job_headers_set_uint(
		    w, JH_JOB_BUDGET_MS, remaining / JH_USEC_PER_MSEC);
	if (c->max_wait != JH_NEVER)
		jh_job_headers_set_uint(
		    w, JH_JOB_MAX_WAIT_MS, c->max_wait / JH_USEC_PER_MSEC);
	jh_job_headers_set(w, JH_JOB_PREFIX, levels);
	jh_job_headers_set(w, JH_JOB_SALT, j->salt);
	if (j->shared_salt[0] != '\0')
		jh_job_headers_set(w, JH_JOB_SHARED_SALT, j->shared_salt);
	jh_job_headers_set_uint(w, JH_JOB_DECODE, j->max_tokens);
	jh_job_headers_set_uint(w, JH_JOB_WIDTH,
	    entry_workers_width(j->entry->workers, j->model, &j->prefix));
	jh_job_headers_set_uint(w, JH_JOB_CRASHES, j->crashes);
	/* Of the original request: the body of a resumed one differs. */
	snprintf(fingerprint, sizeof(fingerprint), "%016llx:%016llx",
	    (unsigned long long)j->fingerprint.high,
	    (unsigned long long)j->fingerprint.low);
	jh_job_headers_set(w, JH_JOB_FINGERPRINT, fingerprint);
	jh_job_parts_format(&j->parts, parts);
	if (j->parts.n > 0)
		jh_job_headers_set(w, JH_JOB_PARTS, parts);
	if (entry_job_has_output(j))
		jh_job_headers_set_uint(
		    w, JH_JOB_POSITION, jh_relay_position(j->relay));
	jh_job_headers_set_uint(
	    w, JH_JOB_CATALOG_REV, jh_catalog_revision(j->entry->catalog));
	if (j->reconnect_worker != 0)
		jh_job_headers_set_uint(
		    w, JH_JOB_RESUME, j->reconnect_position);
	return w;
}

/*
 * Resets the state of the attempt. Returns the body that resumes a stream, or
 * NULL to send the original one. Holds j->lock.
 */
static char *
prepare_attempt(struct entry_job *j)
{
	j->accepted = false;
	j->response_invalid = false;
	if (!j->stream) {
		if (j->response == NULL)
			j->response = g_string_new(NULL);
		g_string_truncate(j->response, 0);
		return NULL;
	}
	if (j->relay == NULL)
		j->relay = entry_job_new_relay(j);
	jh_relay_restart(j->relay);
	if (!j->reply_begun || j->reconnect_worker != 0)
		return NULL;
	return chat_request_resume_body(
	    j->body, jh_relay_position(j->relay), jh_relay_text(j->relay));
}

/* Takes ownership of text, which malloc() returned. */
static struct jh_body *
body_from_text(char *text)
{
	GBytes *bytes =
	    g_bytes_new_with_free_func(text, strlen(text), free, text);
	struct jh_body *b = jh_body_create(NULL, bytes);

	g_bytes_unref(bytes);
	return b;
}

/* Returns false when the call could not be started. Holds j->lock. */
static bool
start_attempt(struct entry_job *j, const struct jh_candidate *c,
    const struct worker_address *to)
{
	char *resumed = prepare_attempt(j);
	struct jh_body *body =
	    resumed == NULL ? jh_body_ref(j->body) : body_from_text(resumed);
	struct jh_job_headers *w = make_job_headers(j, c);
	char **lines = jh_job_headers_format_shared(
	    w, &j->entry->settings.secret, "POST", CHAT_PATH, body);
	struct jh_http_call_spec spec = {.peer = to->address,
	    .method = "POST",
	    .path = CHAT_PATH,
	    .headers = (const char *const *)lines,
	    .shared_body = body,
	    .deadline = jh_now() + ATTEMPT_USEC,
	    .ops = &entry_attempt_ops,
	    .arg = entry_job_ref(j)};

	jh_http_call_unref(j->call);
	j->worker = c->worker;
	g_strlcpy(j->worker_name, to->instance, sizeof(j->worker_name));
	j->call = jh_http_call_start(j->entry->client, &spec);
	g_strfreev(lines);
	jh_job_headers_destroy(w);
	jh_body_unref(body);
	return j->call != NULL;
}

/* Assumes a worker that has all levels but the last in its cache. */
static uint32_t
expected_uncached(const struct jh_prefix *p)
{
	return p->n < 2 ? 0 : p->level[p->n - 1].tokens;
}

uint64_t
entry_job_cost(const struct entry_job *j)
{
	return (uint64_t)expected_uncached(&j->prefix) + j->max_tokens;
}

/* Gets the candidates of the stage; returns false if there are none. */
static bool
choose_candidates(struct entry_job *j)
{
	struct jh_place_request r = {.prefix = &j->prefix,
	    .region = entry_region_id(j->entry->settings.region),
	    .prefill_tokens = expected_uncached(&j->prefix),
	    .decode_tokens = j->max_tokens,
	    .after_refusals = j->stage != STAGE_FIRST,
	    .refusals = j->worker_refusals,
	    .n_refusals = j->n_worker_refusals};

	if (j->stage == STAGE_OTHER_REGION) {
		r.region = entry_workers_other_region(
		    j->entry->workers, j->model, j->fingerprint.low);
		r.n_refusals = 0;
		if (r.region == 0)
			return false;
	}
	j->next_candidate = 0;
	j->n_candidates = entry_workers_choose(j->entry->workers, j->model, &r,
	    j->candidates, JH_PLACE_MAX_CANDIDATES);
	return j->n_candidates > 0;
}

/*
 * The link between regions is slow and paid by volume, so only urgent requests
 * that no worker of the own region can take are sent to another.
 */
static bool
next_stage(struct entry_job *j)
{
	if (j->stage == STAGE_OTHER_REGION)
		return false;
	if (j->stage == STAGE_AFTER_REFUSALS && j->auth.rank != JH_RANK_URGENT)
		return false;
	j->stage++;
	return true;
}

static bool
next_candidate(struct entry_job *j, struct jh_candidate *out)
{
	if (j->reconnect_worker != 0) {
		*out = (struct jh_candidate){j->reconnect_worker, JH_NEVER};
		if (j->reconnect_tried)
			return false;
		j->reconnect_tried = true;
		return true;
	}
	while (j->next_candidate == j->n_candidates) {
		j->next_candidate = 0;
		j->n_candidates = 0;
		if (!next_stage(j))
			return false;
		choose_candidates(j);
	}
	*out = j->candidates[j->next_candidate++];
	return true;
}

/* Tries all workers again, unless the client is gone and cannot reconnect. */
static void
on_worker_wait_done(void *arg, bool reached)
{
	struct entry_job *j = arg;
	bool client_gone;

	pthread_mutex_lock(&j->lock);
	client_gone = j->client_gone && j->reconnect_deadline == JH_NEVER;
	pthread_mutex_unlock(&j->lock);
	j->stage = STAGE_NONE;
	j->n_worker_refusals = 0;
	if (client_gone)
		entry_job_finish(j);
	else
		entry_job_advance(j);
	entry_job_unref(j);
}

/*
 * Waits before a stream that has begun tries all workers again: failed ones are
 * only in a short backoff, and a refusal would lose the stream.
 */
static bool
wait_for_worker(struct entry_job *j)
{
	if (!j->reply_begun || j->reconnect_worker != 0 ||
	    j->worker_waits == MAX_WORKER_WAITS)
		return false;
	j->worker_waits++;
	entry_revision_wait_add(j->entry->revision_wait, UINT64_MAX,
	    on_worker_wait_done, entry_job_ref(j));
	return true;
}

static void
refuse_or_wait(struct entry_job *j)
{
	if (wait_for_worker(j))
		return;
	if (j->reconnect_worker != 0)
		entry_job_stream_lost(j, j->worker == 0
					     ? "its worker is not known"
					     : "its worker cannot be reached");
	else if (j->may_have_run)
		entry_job_refuse(
		    j, ENTRY_ERR_OUTCOME_UNKNOWN, ENTRY_OUTCOME_UNKNOWN);
	else
		entry_job_refuse(j,
		    j->deadline_unreachable ? ENTRY_ERR_DEADLINE
					    : ENTRY_ERR_NO_CAPACITY,
		    ENTRY_NOT_RUN);
}

void
entry_job_advance(struct entry_job *j)
{
	struct worker_address to;
	struct jh_candidate c;
	bool started = false;

	while (next_candidate(j, &c)) {
		if (!entry_workers_find(j->entry->workers, c.worker, &to))
			continue;
		pthread_mutex_lock(&j->lock);
		if (j->client_gone && !j->resumable) {
			pthread_mutex_unlock(&j->lock);
			entry_job_finish(j);
			return;
		}
		started = start_attempt(j, &c, &to);
		pthread_mutex_unlock(&j->lock);
		if (started)
			return;
		entry_job_unref(j);
		break;
	}
	refuse_or_wait(j);
}
