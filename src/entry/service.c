#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>
#include <xxhash.h>

#include "base/event.h"
#include "entry/request_auth.h"
#include "entry/limits.h"
#include "entry/service.h"
#include "entry/revision_wait.h"
#include "work/job_headers.h"
#include "work/job_parts.h"

#define SERVICES_PREFIX "/v1/services/"
#define WORK_PREFIX "/v1/jobs/service"

/* Time limit of one attempt. */
#define ATTEMPT_USEC (60 * JH_USEC_PER_SEC)

/* Largest response body that is forwarded, in bytes. */
#define RESPONSE_LIMIT (16 << 20)

/* Cost tokens that one call counts for in the limit. */
#define SERVICE_COST 1

/* Longest Idempotency-Key, in bytes. */
#define KEY_LIMIT 255

/* A call to a plain service, over all its attempts. */
struct service_job {
	struct entry *entry;
	struct jh_http_req *req;
	struct request_auth auth;
	char *path; /* of the request to the agent */
	struct jh_job_parts parts; /* of the request alone */
	const char *key; /* in req; NULL for an idempotent call */
	bool first_attempt;
	uint64_t deadline;
	GArray *agents; /* of struct worker_address */
	guint next; /* index of the next agent to try */
	const char *agent; /* of the running attempt; in agents */
	struct limit_admission *admission; /* NULL until admitted */
	GString *response; /* body of the running attempt */
	bool response_too_long;
	bool may_have_run;
	bool known_not_run; /* by an agent's record of the key */
	bool store_down; /* an agent refused because of the store */
};

static void advance(struct service_job *j);

static void
destroy(struct service_job *j)
{
	jh_http_req_unref(j->req);
	entry_limits_finish(j->entry->limits, j->admission, SERVICE_COST);
	request_auth_clear(&j->auth);
	if (j->agents != NULL)
		g_array_free(j->agents, TRUE);
	g_string_free(j->response, TRUE);
	g_free(j->path);
	g_free(j);
}

static void
refuse(struct service_job *j, enum entry_error code, enum entry_outcome outcome)
{
	struct entry *e = j->entry;

	entry_reply_error(j->req, code, outcome, NULL);
	jh_counters_add(e->counters, ENTRY_REFUSED, 1);
	if (code == ENTRY_ERR_NO_CAPACITY || code == ENTRY_ERR_STORE ||
	    code == ENTRY_ERR_LIMIT_EXCEEDED)
		entry_count_refusal(
		    e, j->auth.rule->owner, j->auth.rule->class_name);
	destroy(j);
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct service_job *j = arg;

	if (j->response->len + data.len > RESPONSE_LIMIT)
		j->response_too_long = true;
	else
		g_string_append_len(j->response, data.ptr, (gssize)data.len);
	return true;
}

static enum entry_outcome
outcome_from_agent(struct service_job *j, const char *outcome)
{
	if (g_strcmp0(outcome, "ran") == 0)
		return ENTRY_RAN;
	/* For a request with a key the agent's answer covers all attempts. */
	if (g_strcmp0(outcome, "not_run") == 0 &&
	    (j->key != NULL || !j->may_have_run))
		return ENTRY_NOT_RUN;
	return ENTRY_OUTCOME_UNKNOWN;
}

/*
 * The outcome to state in a refusal that no agent has answered: an earlier
 * request with the key can have run unless the client says that there was none.
 */
static enum entry_outcome
outcome_without_agent(const struct service_job *j)
{
	if (j->may_have_run ||
	    (j->key != NULL && !j->first_attempt && !j->known_not_run))
		return ENTRY_OUTCOME_UNKNOWN;
	return ENTRY_NOT_RUN;
}

/* Refuses the call for a reason that holds at every agent. */
static void
refuse_final(
    struct service_job *j, const char *reason, enum entry_outcome outcome)
{
	if (g_strcmp0(reason, "key_reused") == 0)
		refuse(j, ENTRY_ERR_KEY_REUSED, outcome);
	else if (g_strcmp0(reason, "answer_not_kept") == 0)
		refuse(j, ENTRY_ERR_ANSWER_NOT_KEPT, outcome);
	else if (g_strcmp0(reason, "store_unavailable") == 0)
		refuse(j, ENTRY_ERR_STORE, outcome);
	else if (outcome == ENTRY_OUTCOME_UNKNOWN)
		refuse(j, ENTRY_ERR_OUTCOME_UNKNOWN, outcome);
	else
		refuse(j, ENTRY_ERR_NO_CAPACITY, outcome);
}

static bool
is_final(const char *reason)
{
	static const char *const finals[] = {"key_reused", "answer_not_kept",
	    "store_unavailable", "holder_gone", "holder_silent",
	    "record_malformed", NULL};

	return reason != NULL && g_strv_contains(finals, reason);
}

static void
forward_response(struct service_job *j, struct jh_http_call *call)
{
	const char *type = jh_http_call_header(call, "Content-Type");
	struct entry *e = j->entry;

	jh_http_req_reply(j->req, jh_http_call_status(call),
	    type == NULL ? "application/octet-stream" : type, j->response->str,
	    j->response->len);
	pthread_mutex_lock(&e->lock);
	jh_retry_success(e->retry, jh_now());
	pthread_mutex_unlock(&e->lock);
	jh_counters_add(e->counters, ENTRY_COMPLETED, 1);
	crash_log_parts_succeeded(e->crashes, j->parts.part, j->parts.n);
	destroy(j);
}

static void
attempt_failed(struct service_job *j, bool not_sent)
{
	struct entry *e = j->entry;
	bool allowed = true;

	if (!not_sent) {
		j->may_have_run = true;
		pthread_mutex_lock(&e->lock);
		allowed = jh_retry_take(e->retry, jh_now());
		pthread_mutex_unlock(&e->lock);
	}
	if (!allowed) {
		refuse(j, ENTRY_ERR_OUTCOME_UNKNOWN, ENTRY_OUTCOME_UNKNOWN);
		return;
	}
	jh_counters_add(e->counters, ENTRY_RETRIES, 1);
	advance(j);
}

static void
on_catalogue(void *arg, bool reached)
{
	struct service_job *j = arg;
	enum entry_error why;

	if (!reached) {
		refuse(j, ENTRY_ERR_NO_CAPACITY, outcome_without_agent(j));
	} else if (!request_auth_refresh(j->entry, &j->auth, &why)) {
		refuse(j, why, outcome_without_agent(j));
	} else {
		j->next = 0;
		advance(j);
	}
}

/* The agent has a newer catalogue; checks the request again with that one. */
static void
await_catalogue(struct service_job *j, struct jh_http_call *call)
{
	const char *text = jh_http_call_header(call, "Jh-Catalog-Rev");
	const struct worker_address *to =
	    &g_array_index(j->agents, struct worker_address, j->next - 1);

	jh_feed_pull_now(j->entry->feed, &to->rpc_address);
	entry_revision_wait_add(j->entry->revision_wait,
	    text == NULL ? 0 : g_ascii_strtoull(text, NULL, 10), on_catalogue,
	    j);
}

/* The backend server crashed: learns what its agent knows of the crash. */
static void
handle_crash(struct service_job *j)
{
	const struct worker_address *to =
	    &g_array_index(j->agents, struct worker_address, j->next - 1);

	jh_feed_pull_now(j->entry->feed, &to->rpc_address);
}

static void
update_member(struct service_job *j, struct jh_http_call *call,
    enum jh_http_result result)
{
	struct entry_workers *w = j->entry->workers;

	if (result == JH_HTTP_OK)
		entry_workers_heard(w, j->agent,
		    jh_http_call_header(call, "Jh-Leaving") != NULL);
	else
		entry_workers_failed(w, j->agent);
}

/* An agent that is leaving refuses without reading the record of the key. */
static void
handle_refusal(struct service_job *j, const char *reason)
{
	j->known_not_run =
	    j->known_not_run || g_strcmp0(reason, "leaving") != 0;
	advance(j);
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct service_job *j = arg;
	const char *outcome = jh_http_call_header(call, "Jh-Outcome");
	const char *reason = jh_http_call_header(call, "Jh-Reason");

	update_member(j, call, result);
	if (g_strcmp0(reason, "backend_lost") == 0)
		handle_crash(j);
	if (result != JH_HTTP_OK || outcome == NULL || j->response_too_long)
		attempt_failed(j, result == JH_HTTP_NOT_SENT);
	else if (reason == NULL && strcmp(outcome, "ran") == 0)
		forward_response(j, call);
	else if (g_strcmp0(reason, "stale_catalogue") == 0)
		await_catalogue(j, call);
	else if (is_final(reason))
		refuse_final(j, reason, outcome_from_agent(j, outcome));
	else if (strcmp(outcome, "not_run") == 0)
		handle_refusal(j, reason);
	else
		attempt_failed(j, false);
}

static const struct jh_http_call_ops attempt_ops = {
    .data = on_data, .done = on_done};

static struct jh_job_headers *
make_job_headers(struct service_job *j)
{
	struct jh_job_headers *w = jh_job_headers_create();
	char parts[JH_JOB_PARTS_SIZE];
	uint64_t now = jh_now();

	jh_job_headers_set(w, JH_JOB_ORG, j->auth.org->name);
	jh_job_headers_set(w, JH_JOB_CLASS, j->auth.rule->class_name);
	jh_job_headers_set(w, JH_JOB_RANK, request_rank_name(j->auth.rank));
	jh_job_headers_set_uint(w, JH_JOB_BUDGET_MS,
	    j->deadline > now ? (j->deadline - now) / JH_USEC_PER_MSEC : 0);
	jh_job_headers_set_uint(
	    w, JH_JOB_CATALOG_REV, jh_catalog_revision(j->entry->catalog));
	jh_job_parts_format(&j->parts, parts);
	jh_job_headers_set(w, JH_JOB_PARTS, parts);
	if (j->key != NULL) {
		jh_job_headers_set(w, JH_JOB_ONCE, "1");
		jh_job_headers_set(w, JH_JOB_KEY, j->key);
		if (j->first_attempt && !j->may_have_run)
			jh_job_headers_set(w, JH_JOB_FIRST_ATTEMPT, "1");
	}
	return w;
}

static bool
start_attempt(struct service_job *j, const struct worker_address *to)
{
	const char *method = jh_http_req_method(j->req);
	const char *type = jh_http_req_header(j->req, "Content-Type");
	struct jh_str body = jh_http_req_body(j->req);
	struct jh_job_headers *w = make_job_headers(j);
	char **lines = jh_job_headers_format(
	    w, &j->entry->settings.secret, method, j->path, body);
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	struct jh_http_call_spec spec = {.peer = to->address,
	    .method = method,
	    .path = j->path,
	    .body = body,
	    .deadline = jh_now() + ATTEMPT_USEC,
	    .own_connection = j->key != NULL,
	    .ops = &attempt_ops,
	    .arg = j};
	struct jh_http_call *call;
	char **l;

	g_string_truncate(j->response, 0);
	j->response_too_long = false;
	for (l = lines; *l != NULL; l++)
		g_ptr_array_add(all, *l);
	if (type != NULL)
		g_ptr_array_add(all, g_strdup_printf("Content-Type: %s", type));
	g_ptr_array_add(all, NULL);
	spec.headers = (const char *const *)all->pdata;
	call = jh_http_call_start(j->entry->client, &spec);
	g_free(lines);
	g_ptr_array_free(all, TRUE);
	jh_job_headers_destroy(w);
	jh_http_call_unref(call);
	return call != NULL;
}

static void
advance(struct service_job *j)
{
	const struct worker_address *to;

	if (crash_log_refuses_parts(
		j->entry->crashes, j->parts.part, j->parts.n)) {
		jh_event(JH_EV_REQUEST_QUARANTINED, G_LOG_LEVEL_WARNING,
		    "a call of %s to %s is quarantined", j->auth.org->name,
		    j->path);
		refuse(j, ENTRY_ERR_QUARANTINED, outcome_without_agent(j));
		return;
	}
	if (j->next < j->agents->len) {
		to =
		    &g_array_index(j->agents, struct worker_address, j->next++);
		j->agent = to->instance;
		if (start_attempt(j, to))
			return;
	}
	if (j->may_have_run)
		refuse(j, ENTRY_ERR_OUTCOME_UNKNOWN, ENTRY_OUTCOME_UNKNOWN);
	else
		refuse(j, ENTRY_ERR_NO_CAPACITY, outcome_without_agent(j));
}

/* Splits "/v1/services/NAME/REST"; free the name with g_free(). */
static char *
split_path(const char *path, const char **rest)
{
	const char *name = path + strlen(SERVICES_PREFIX);
	const char *slash = strchr(name, '/');

	if (slash == NULL || slash == name)
		return NULL;
	*rest = slash;
	return g_strndup(name, (gsize)(slash - name));
}

static bool
check_key(struct service_job *j)
{
	const char *key = jh_http_req_header(j->req, "Idempotency-Key");
	const char *first = jh_http_req_header(j->req, "X-First-Attempt");

	if (j->auth.rule->idempotent)
		return true;
	if (key == NULL || key[0] == '\0' || strlen(key) > KEY_LIMIT) {
		entry_reply_error(
		    j->req, ENTRY_ERR_MISSING_KEY, ENTRY_NOT_RUN, NULL);
		return false;
	}
	j->key = key;
	j->first_attempt = g_strcmp0(first, "true") == 0;
	return true;
}

/* The fingerprint covers organisation, path and body. */
static void
set_parts(struct service_job *j)
{
	struct jh_fingerprint f = jh_fingerprint_of(
	    jh_str_from(j->auth.org->name), jh_http_req_body(j->req));

	j->parts.part[0] = jh_fingerprint_of_part(
	    XXH3_64bits_withSeed(j->path, strlen(j->path), f.low));
	j->parts.n = 1;
}

/* Checks the call; on failure replies with the error and returns false. */
static bool
prepare_job(struct service_job *j)
{
	const char *rest;
	char *name = split_path(jh_http_req_target(j->req), &rest);
	bool ok = false;

	if (name == NULL) {
		entry_reply_error(
		    j->req, ENTRY_ERR_NOT_FOUND, ENTRY_NOT_RUN, NULL);
		return false;
	}
	if (!request_auth_identify(
		j->entry, j->req, name, JH_ENTRY_SERVICE, &j->auth) ||
	    !check_key(j))
		goto out;
	if (!jh_catalog_entry_allows_model(j->auth.rule, name)) {
		entry_reply_error(j->req, ENTRY_ERR_CLASS_NOT_ALLOWED,
		    ENTRY_NOT_RUN, "The class does not allow this service.");
		goto out;
	}
	j->path = g_strconcat(WORK_PREFIX, rest, NULL);
	set_parts(j);
	j->deadline = jh_now() +
		      (uint64_t)j->auth.rule->ttft_target_ms * JH_USEC_PER_MSEC;
	j->agents = entry_workers_of_service(j->entry->workers, name,
	    j->key == NULL ? jh_str_from(j->path) : jh_str_from(j->key));
	ok = true;
out:
	g_free(name);
	return ok;
}

void
entry_service(struct entry *e, struct jh_http_req *req)
{
	struct service_job *j = g_new0(struct service_job, 1);

	j->entry = e;
	j->req = req;
	j->response = g_string_new(NULL);
	if (prepare_job(j)) {
		j->admission =
		    entry_limits_admit(e->limits, j->auth.rule, SERVICE_COST);
		if (j->admission == NULL)
			refuse(j, ENTRY_ERR_LIMIT_EXCEEDED,
			    outcome_without_agent(j));
		else
			advance(j);
		return;
	}
	jh_counters_add(e->counters, ENTRY_REJECTED, 1);
	destroy(j);
}
