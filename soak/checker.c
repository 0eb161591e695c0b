#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/worker.h"
#include "soak/checker.h"
#include "soak/limit_checker.h"
#include "soak/notice_checker.h"
#include "soak/part_checker.h"
#include "soak/plan.h"

/* Lost responses that are tolerated (LOST allows three). */
#define MAX_LOST_RESPONSES 3
/* Executions that may outlive their clients: a few, and a quarter (GONE). */
#define MAX_LATE_EXECUTIONS 5
#define MAX_LATE_RATIO 0.25
/* The soak's own timer is at most this late when the soak runs. */
#define MIN_STALL_USEC (50 * JH_USEC_PER_MSEC)
/*
 * After this many ticks, each in a turn of the event loop of its own, the soak
 * has read what had arrived before, also over a proxy.
 */
#define READ_TICKS 3
#define STATUS_OVER_QUOTA 429
/* Violations beyond this number are counted but not recorded. */
#define MAX_VIOLATIONS 50

enum outcome { WAITING, RESPONDED, BROKEN, ABANDONED, TIMED_OUT };

struct record {
	struct soak_request request;
	enum outcome outcome;
	unsigned int status;
	uint64_t closed; /* when the outcome became known */
	uint64_t stalled; /* stalls of the soak until it was sent, in all */
	unsigned int executions;
	unsigned int worker; /* of the last execution */
	uint64_t started; /* start of the last execution */
	uint64_t ended; /* end of the last execution; 0: still running */
	uint64_t stalled_run; /* stalls of the soak until started, in all */
	bool faulty; /* a faulty worker executed it */
	bool in_touch, calm; /* its router; everything; when it was sent */
};

struct router_state {
	uint64_t disturbed; /* until then, by any fault */
	uint64_t unplanned; /* until then, except by planned stops */
	uint64_t interrupted; /* until then it did not run, or just started */
};

struct worker_state {
	uint64_t disturbed;
	uint64_t injected; /* the same, except by crashes by a part */
	uint64_t draining; /* since then; 0: not draining */
	uint64_t token;
	char *holder;
};

/* A stream went on at another worker before the end at this one was read. */
struct overlap {
	const struct record *record;
	unsigned int worker;
	unsigned int ticks; /* that are left to read it in */
};

struct soak_checker {
	struct soak_bounds bounds;
	GHashTable *records; /* struct record by request id */
	GPtrArray *order; /* struct record, in the order sent */
	GArray *overlaps; /* struct overlap */
	GHashTable *holders; /* token to holder */
	struct router_state *routers;
	struct worker_state *workers;
	struct soak_part_checker *parts;
	struct soak_limit_checker *limits;
	struct soak_quota_checker *quotas;
	bool has_quotas;
	struct soak_notice_checker *notices;
	uint64_t store_disturbed;
	uint64_t any_disturbed; /* end of the last fault anywhere */
	uint64_t config_changed; /* last change of what is allowed */
	uint64_t ticked; /* time of the last tick; 0: none yet */
	uint64_t stalled; /* time in which the soak did not run, until then */
	unsigned int lost, late_executions, cancelled;
	GPtrArray *violations;
	unsigned int n_violations;
	struct soak_totals totals;
};

static void
free_record(void *p)
{
	struct record *rec = p;

	g_free(rec->request.id);
	g_free(rec->request.target);
	g_free(rec->request.body);
	g_free(rec->request.first_part);
	g_free(rec->request.parts);
	g_free(rec);
}

struct soak_checker *
soak_checker_create(const struct soak_bounds *b)
{
	struct soak_checker *ck = g_new0(struct soak_checker, 1);

	ck->bounds = *b;
	ck->records = g_hash_table_new(g_str_hash, g_str_equal);
	ck->order = g_ptr_array_new_with_free_func(free_record);
	ck->overlaps = g_array_new(FALSE, FALSE, sizeof(struct overlap));
	ck->holders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	ck->routers = g_new0(struct router_state, b->routers);
	ck->workers = g_new0(struct worker_state, b->workers);
	ck->parts = soak_part_checker_create(b->connected_after);
	ck->limits = soak_limit_checker_create(
	    b->workers, b->routers, b->connected_after);
	ck->notices =
	    soak_notice_checker_create(b->workers, b->routers, b->drain);
	ck->quotas = soak_quota_checker_create(b->routers, b->connected_after);
	ck->violations = g_ptr_array_new_with_free_func(g_free);
	return ck;
}

void
soak_checker_destroy(struct soak_checker *ck)
{
	unsigned int i;

	for (i = 0; i < ck->bounds.workers; i++)
		g_free(ck->workers[i].holder);
	soak_part_checker_destroy(ck->parts);
	soak_limit_checker_destroy(ck->limits);
	soak_notice_checker_destroy(ck->notices);
	soak_quota_checker_destroy(ck->quotas);
	g_hash_table_destroy(ck->records);
	g_hash_table_destroy(ck->holders);
	g_ptr_array_free(ck->order, TRUE);
	g_array_free(ck->overlaps, TRUE);
	g_ptr_array_free(ck->violations, TRUE);
	g_free(ck->routers);
	g_free(ck->workers);
	g_free(ck);
}

void
soak_checker_add_violation(struct soak_checker *ck, uint64_t now,
    const char *rule, const char *format, ...)
{
	va_list args;
	char *text;

	if (ck->n_violations++ >= MAX_VIOLATIONS)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(ck->violations,
	    g_strdup_printf("%.3f %s: %s", (double)now / 1e6, rule, text));
	g_free(text);
}

static struct record *
find_record(struct soak_checker *ck, const char *id)
{
	return g_hash_table_lookup(ck->records, id);
}

/* As a worker received it; NULL: no client sent such a request. */
static struct record *
find_received(struct soak_checker *ck, struct jh_str id)
{
	char *text = jh_str_dup(id);
	struct record *rec = find_record(ck, text);

	g_free(text);
	return rec;
}

bool
soak_checker_router_undisturbed(
    const struct soak_checker *ck, unsigned int router, uint64_t t)
{
	return ck->routers[router].disturbed + ck->bounds.connected_after < t;
}

bool
soak_checker_store_undisturbed(const struct soak_checker *ck, uint64_t t)
{
	return ck->store_disturbed + ck->bounds.connected_after < t;
}

static bool
is_in_touch(const struct soak_checker *ck, unsigned int router, uint64_t t)
{
	return soak_checker_router_undisturbed(ck, router, t) &&
	       soak_checker_store_undisturbed(ck, t);
}

static bool
is_calm(const struct soak_checker *ck, uint64_t t)
{
	return ck->any_disturbed + ck->bounds.connected_after < t;
}

static bool
worker_undisturbed(
    const struct soak_checker *ck, unsigned int worker, uint64_t t)
{
	return ck->workers[worker].disturbed + ck->bounds.connected_after < t;
}

/* Time in which the soak did not run, until now. */
static uint64_t
stalled_until(const struct soak_checker *ck, uint64_t now)
{
	uint64_t since = ck->ticked == 0 ? 0 : now - MIN(now, ck->ticked);

	return ck->stalled +
	       (since > MIN_STALL_USEC ? since - SOAK_TICK_USEC : 0);
}

static void
add_twice(struct soak_checker *ck, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	soak_checker_add_violation(ck, now, "TWICE",
	    "stream %s goes on while worker %u still works on it",
	    rec->request.id, worker);
}

/*
 * A stream goes on at another worker. While the soak did not run, its router
 * may have ended it at the first one, and the soak may read the new request
 * before that end.
 */
static void
check_overlap(struct soak_checker *ck, uint64_t now, const struct record *rec)
{
	struct overlap o = {rec, rec->worker, READ_TICKS};

	if (stalled_until(ck, now) == rec->stalled_run)
		add_twice(ck, now, rec, rec->worker);
	else
		g_array_append_val(ck->overlaps, o);
}

static void
end_overlap(
    struct soak_checker *ck, const struct record *rec, unsigned int worker)
{
	const struct overlap *o;
	guint i;

	for (i = 0; i < ck->overlaps->len; i++) {
		o = &g_array_index(ck->overlaps, struct overlap, i);
		if (o->record == rec && o->worker == worker) {
			g_array_remove_index(ck->overlaps, i);
			return;
		}
	}
}

static void
note_routers_in_touch(struct soak_checker *ck, uint64_t now)
{
	unsigned int i;

	for (i = 0; ck->has_quotas && i < ck->bounds.routers; i++)
		if (is_in_touch(ck, i, now))
			soak_quota_checker_in_touch(ck->quotas, now, i);
}

void
soak_checker_tick(struct soak_checker *ck, uint64_t now)
{
	struct overlap *o;
	guint i = 0;

	ck->stalled = stalled_until(ck, now);
	ck->ticked = now;
	note_routers_in_touch(ck, now);
	while (i < ck->overlaps->len) {
		o = &g_array_index(ck->overlaps, struct overlap, i);
		if (--o->ticks > 0) {
			i++;
			continue;
		}
		add_twice(ck, now, o->record, o->worker);
		g_array_remove_index(ck->overlaps, i);
	}
}

void
soak_checker_sent(struct soak_checker *ck, const struct soak_request *r)
{
	struct record *rec = g_new0(struct record, 1);

	rec->request = *r;
	rec->in_touch = is_in_touch(ck, r->router, r->sent);
	rec->calm = is_calm(ck, r->sent);
	rec->stalled = stalled_until(ck, r->sent);
	if (r->crashes_workers)
		soak_part_checker_sent(ck->parts, r);
	soak_quota_checker_asked(ck->quotas, r->sent, r->org, r->cost);
	g_hash_table_insert(ck->records, rec->request.id, rec);
	g_ptr_array_add(ck->order, rec);
	ck->totals.sent++;
}

/*
 * Whether the request is allowed. If the configuration changed after it was
 * sent, either configuration may have decided on it.
 */
static enum soak_permission
permission_of(const struct soak_checker *ck, const struct record *rec)
{
	if (rec->request.config_dependent &&
	    ck->config_changed >= rec->request.sent)
		return SOAK_UNDECIDED;
	return rec->request.permission;
}

static bool
states_not_executed(unsigned int status)
{
	return status == STATUS_OVER_QUOTA || status == 503 || status == 408 ||
	       status == 421;
}

/* The complete body; a stream has the events 1 to n, each once. */
static GString *
expected_body(const struct record *rec)
{
	GString *s = g_string_new(NULL);
	int i;

	if (rec->request.kind != SOAK_STREAMING)
		g_string_append_printf(s, "done %s", rec->request.id);
	else
		for (i = 1; i <= FAKE_WORKER_EVENTS; i++)
			g_string_append_printf(
			    s, "id: %d\ndata: t%d\n\n", i, i);
	return s;
}

/* Whether the body is as expected, or its beginning if it is incomplete. */
static bool
body_matches(const struct record *rec, const struct soak_response *a)
{
	GString *expected = expected_body(rec);
	bool ok;

	ok = a->body.len <= expected->len &&
	     memcmp(a->body.ptr, expected->str, a->body.len) == 0 &&
	     (!a->complete || a->body.len == expected->len);
	g_string_free(expected, TRUE);
	return ok;
}

static bool
seal_matches(struct jh_str seal, const char *id)
{
	size_t n = strlen(id);

	return seal.len > n + 1 && seal.ptr[seal.len - n - 1] == '.' &&
	       memcmp(seal.ptr + seal.len - n, id, n) == 0;
}

static void
check_success(struct soak_checker *ck, uint64_t now, const struct record *rec,
    const struct soak_response *a)
{
	if (!seal_matches(a->seal, rec->request.id) ||
	    !jh_str_eq(a->id, jh_str_from(rec->request.id)))
		soak_checker_add_violation(ck, now, "MIXED",
		    "request %s got the response to another request",
		    rec->request.id);
	if (!body_matches(rec, a))
		soak_checker_add_violation(ck, now,
		    rec->request.kind == SOAK_STREAMING ? "ORDER" : "MIXED",
		    "request %s got a wrong body of %zu bytes", rec->request.id,
		    a->body.len);
	if (rec->executions == 0)
		soak_checker_add_violation(ck, now, "MIXED",
		    "request %s succeeded although no worker has run it",
		    rec->request.id);
	if (permission_of(ck, rec) == SOAK_FORBIDDEN)
		soak_checker_add_violation(ck, now, "CONFIG",
		    "request %s to %s succeeded", rec->request.id,
		    rec->request.target);
}

static void
check_failure(struct soak_checker *ck, uint64_t now, const struct record *rec,
    const struct soak_response *a)
{
	if (a->seal.len != 0 && a->status != 500)
		soak_checker_add_violation(ck, now, "MIXED",
		    "request %s has a worker's seal and status %u",
		    rec->request.id, a->status);
	if (states_not_executed(a->status) && rec->executions > 0 &&
	    rec->request.kind != SOAK_IDEMPOTENT)
		soak_checker_add_violation(ck, now, "REFUSED",
		    "request %s has run and got %u", rec->request.id,
		    a->status);
	if (a->status >= 300 && a->status < 500 &&
	    !states_not_executed(a->status) &&
	    permission_of(ck, rec) == SOAK_ALLOWED)
		soak_checker_add_violation(ck, now, "DENIED",
		    "request %s to %s got %u from entry %u", rec->request.id,
		    rec->request.target, a->status, rec->request.router);
}

/* Passes a sound stream on to the checks that the part's rules make. */
static void
note_end(
    struct soak_checker *ck, uint64_t now, const struct record *rec, bool began)
{
	const struct soak_request *r = &rec->request;

	if (r->kind != SOAK_STREAMING || r->crashes_workers ||
	    r->permission != SOAK_ALLOWED || !rec->in_touch ||
	    !is_in_touch(ck, r->router, now))
		return;
	soak_part_checker_ended(
	    ck->parts, r, began, rec->calm && is_calm(ck, now));
}

/* A router that has just started or run again knows no others' use. */
static void
check_quota_refusal(
    struct soak_checker *ck, uint64_t now, const struct record *rec)
{
	unsigned int router = rec->request.router;

	if (!ck->has_quotas || rec->status != STATUS_OVER_QUOTA ||
	    ck->routers[router].interrupted + ck->bounds.connected_after >= now)
		return;
	if (soak_quota_checker_refused(
		ck->quotas, now, rec->request.org, is_calm(ck, now)))
		soak_checker_add_violation(ck, now, "QUOTA",
		    "request %s of %s below its quota got %u from entry %u",
		    rec->request.id, rec->request.org, rec->status, router);
}

/*
 * Whether a request without a complete answer is lost: a healthy worker had it,
 * or it was sent so long ago that it cannot have crossed the router's close.
 */
static bool
is_lost(const struct soak_checker *ck, const struct record *rec, uint64_t now)
{
	if (ck->routers[rec->request.router].unplanned +
		ck->bounds.connected_after >=
	    rec->request.sent)
		return false;
	if (rec->executions == 0)
		return now > rec->request.sent + ck->bounds.response +
				 stalled_until(ck, now) - rec->stalled;
	return !rec->faulty &&
	       worker_undisturbed(ck, rec->worker, rec->request.sent) &&
	       ck->workers[rec->worker].draining == 0;
}

static void
close_broken(struct soak_checker *ck, uint64_t now, struct record *rec)
{
	rec->outcome = BROKEN;
	rec->closed = now;
	ck->totals.broken++;
	if (!is_lost(ck, rec, now) || ++ck->lost <= MAX_LOST_RESPONSES)
		return;
	if (rec->executions == 0)
		soak_checker_add_violation(ck, now, "LOST",
		    "request %s to entry %u got no answer after %.0f ms and "
		    "did not run",
		    rec->request.id, rec->request.router,
		    (double)(now - rec->request.sent) / 1e3);
	else
		soak_checker_add_violation(ck, now, "LOST",
		    "request %s to entry %u ran at worker %u and got no "
		    "complete answer",
		    rec->request.id, rec->request.router, rec->worker);
}

void
soak_checker_responded(struct soak_checker *ck, uint64_t now, const char *id,
    const struct soak_response *a)
{
	struct record *rec = find_record(ck, id);
	bool success = a->status >= 200 && a->status < 300;

	rec->outcome = a->complete ? RESPONDED : BROKEN;
	rec->status = a->status;
	rec->closed = now;
	note_end(ck, now, rec, success && a->body.len > 0);
	/* A resumed stream has the head of its first worker. */
	if (a->rate_limited && a->seal.len > 0 && rec->executions == 1)
		soak_limit_checker_told(
		    ck->limits, now, rec->worker, rec->request.router);
	if (a->leaving && a->seal.len > 0 && rec->executions == 1)
		soak_notice_checker_leaving(ck->notices, now, rec->worker,
		    rec->request.router, rec->started);
	if (success) {
		check_success(ck, now, rec, a);
		if (a->complete)
			ck->totals.served++;
	} else {
		check_failure(ck, now, rec, a);
		check_quota_refusal(ck, now, rec);
		if (states_not_executed(a->status))
			ck->totals.refused++;
		else
			ck->totals.failed++;
	}
	if (!a->complete)
		close_broken(ck, now, rec);
}

void
soak_checker_broken(struct soak_checker *ck, uint64_t now, const char *id)
{
	struct record *rec = find_record(ck, id);

	note_end(ck, now, rec, false);
	close_broken(ck, now, rec);
}

void
soak_checker_abandoned(struct soak_checker *ck, uint64_t now, const char *id)
{
	struct record *rec = find_record(ck, id);

	rec->outcome = ABANDONED;
	rec->closed = now;
	ck->totals.abandoned++;
}

void
soak_checker_timed_out(struct soak_checker *ck, uint64_t now, const char *id)
{
	struct record *rec = find_record(ck, id);

	rec->outcome = TIMED_OUT;
	rec->closed = now;
	note_end(ck, now, rec, false);
	if (soak_checker_router_undisturbed(
		ck, rec->request.router, rec->request.sent))
		soak_checker_add_violation(ck, now, "CONFIG",
		    "request %s to entry %u has no answer after its timeout",
		    id, rec->request.router);
}

/* Whether no fault can delay the request between client and worker. */
static bool
path_undisturbed(const struct soak_checker *ck, const struct record *rec,
    unsigned int worker, uint64_t now)
{
	return soak_checker_router_undisturbed(ck, rec->request.router, now) &&
	       worker_undisturbed(ck, worker, now);
}

static void
check_forwarded(struct soak_checker *ck, uint64_t now, const struct record *rec,
    const struct soak_execution *execution)
{
	uint64_t end = rec->request.sent + rec->request.timeout +
		       stalled_until(ck, now) - rec->stalled;
	uint64_t left = (uint64_t)execution->remaining_msec * JH_USEC_PER_MSEC;

	if (!jh_str_eq(execution->method, jh_str_from(rec->request.method)) ||
	    !jh_str_eq(execution->target, jh_str_from(rec->request.target)) ||
	    !jh_str_eq(execution->body, jh_str_from(rec->request.body)))
		soak_checker_add_violation(ck, now, "UNASKED",
		    "request %s was changed on its way", rec->request.id);
	if (!jh_str_eq(execution->org, jh_str_from(rec->request.org)) ||
	    !jh_str_eq(execution->model, jh_str_from(rec->request.model)) ||
	    execution->has_key || execution->has_hold)
		soak_checker_add_violation(ck, now, "UNASKED",
		    "request %s has wrong header fields: organisation \"%.*s\"",
		    rec->request.id, (int)execution->org.len,
		    execution->org.ptr);
	/* The delay of a slow link is not the router's. */
	if (execution->remaining_msec < 0 ||
	    left > rec->request.timeout + ck->bounds.response ||
	    (now + left > end + ck->bounds.response &&
		path_undisturbed(ck, rec, execution->worker, now)))
		soak_checker_add_violation(ck, now, "BUDGET",
		    "request %s was forwarded with %lld ms left",
		    rec->request.id, (long long)execution->remaining_msec);
}

static void
check_allowed(struct soak_checker *ck, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	if (!rec->request.ever_allowed)
		soak_checker_add_violation(ck, now, "ROUTE",
		    "request %s ran without a valid route or key",
		    rec->request.id);
	if (permission_of(ck, rec) == SOAK_FORBIDDEN)
		soak_checker_add_violation(ck, now, "CONFIG",
		    "request %s to %s ran at entry %u after its permission was "
		    "withdrawn",
		    rec->request.id, rec->request.target, rec->request.router);
	if (rec->executions > 0 && rec->request.kind == SOAK_NON_IDEMPOTENT)
		soak_checker_add_violation(
		    ck, now, "TWICE", "request %s ran again", rec->request.id);
	if (rec->outcome == RESPONDED && states_not_executed(rec->status) &&
	    rec->request.kind != SOAK_IDEMPOTENT)
		soak_checker_add_violation(ck, now, "REFUSED",
		    "request %s ran after it got %u", rec->request.id,
		    rec->status);
	if (rec->outcome == ABANDONED &&
	    now > rec->closed + ck->bounds.cancel &&
	    path_undisturbed(ck, rec, worker, now))
		soak_checker_add_violation(ck, now, "GONE",
		    "request %s reached a worker %.0f ms after its client left",
		    rec->request.id, (double)(now - rec->closed) / 1e3);
}

static void
check_worker(struct soak_checker *ck, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	const struct worker_state *w = &ck->workers[worker];

	if (w->draining == 0 || now < w->draining + ck->bounds.drain ||
	    !soak_checker_router_undisturbed(ck, rec->request.router, now) ||
	    !soak_checker_store_undisturbed(ck, w->draining))
		return;
	soak_checker_add_violation(ck, now, "DRAIN",
	    "request %s reached worker %u %.0f ms after it was known to be "
	    "leaving",
	    rec->request.id, worker, (double)(now - w->draining) / 1e3);
}

/* Until then the worker's link was disturbed, or data that it delayed arrives.
 */
static uint64_t
link_disturbed(const struct soak_checker *ck, unsigned int worker)
{
	uint64_t until = ck->workers[worker].disturbed;

	return until == 0 ? 0
			  : until + (uint64_t)(SOAK_MAX_DELAY_SEC *
					       (double)JH_USEC_PER_SEC);
}

/*
 * Adds a request that runs for the first time to the use of its organisation.
 * A disturbed link may have delayed it since its router admitted it, soon after
 * it was sent unless something disturbed the router too.
 */
static void
check_quota(struct soak_checker *ck, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	const struct soak_request *r = &rec->request;
	bool delayed = link_disturbed(ck, worker) >= r->sent;
	double allowed, ran;

	if (!ck->has_quotas || rec->executions > 0 ||
	    (delayed && ck->routers[r->router].disturbed >= r->sent))
		return;
	ran = soak_quota_checker_ran(ck->quotas, delayed ? r->sent : now,
	    r->org, r->cost, stalled_until(ck, now), &allowed);
	if (ran > 0)
		soak_checker_add_violation(ck, now, "QUOTA",
		    "workers ran %.0f of %s, %.0f are allowed", ran, r->org,
		    allowed);
}

void
soak_checker_execution_started(struct soak_checker *ck, uint64_t now,
    const struct soak_execution *execution)
{
	struct record *rec = find_received(ck, execution->id);

	ck->totals.executions++;
	if (rec == NULL) {
		soak_checker_add_violation(ck, now, "UNASKED",
		    "no client sent request \"%.*s\"", (int)execution->id.len,
		    execution->id.ptr);
		return;
	}
	check_forwarded(ck, now, rec, execution);
	check_allowed(ck, now, rec, execution->worker);
	check_worker(ck, now, rec, execution->worker);
	/* What arrives over a link after its fault is not late. */
	if (rec->request.crashes_workers &&
	    is_in_touch(ck, rec->request.router, now) &&
	    ck->workers[execution->worker].injected +
		    ck->bounds.connected_after <
		now)
		soak_part_checker_ran(ck->parts, now);
	if (rec->executions > 0 && rec->ended == 0 &&
	    rec->request.kind == SOAK_STREAMING && execution->last_event > 0 &&
	    worker_undisturbed(ck, rec->worker, now) &&
	    soak_checker_router_undisturbed(ck, rec->request.router, now))
		check_overlap(ck, now, rec);
	check_quota(ck, now, rec, execution->worker);
	rec->executions++;
	rec->worker = execution->worker;
	rec->faulty = rec->faulty || execution->faulty;
	rec->started = now;
	rec->stalled_run = stalled_until(ck, now);
	rec->ended = 0;
}

/* Checks a request that reached a worker against what the worker has said. */
static void
check_notices(struct soak_checker *ck, uint64_t now, unsigned int worker,
    const struct record *rec)
{
	unsigned int router = rec->request.router;
	struct soak_notice_arrival a = {.worker = worker,
	    .router = router,
	    .sent = rec->request.sent,
	    .interrupted = ck->routers[router].interrupted,
	    .disturbed = link_disturbed(ck, worker),
	    .stalled = stalled_until(ck, now)};

	switch (soak_notice_checker_arrived(ck->notices, now, &a)) {
	case SOAK_NOTICE_OBEYED:
		break;
	case SOAK_NOTICE_DRAIN:
		soak_checker_add_violation(ck, now, "DRAIN",
		    "request %s of entry %u reached worker %u, which had said "
		    "that it leaves",
		    rec->request.id, router, worker);
		break;
	case SOAK_NOTICE_BUDGET:
		soak_checker_add_violation(ck, now, "BUDGET",
		    "request %s of entry %u reached worker %u, which wants "
		    "nothing",
		    rec->request.id, router, worker);
		break;
	}
}

void
soak_checker_arrived(struct soak_checker *ck, uint64_t now, unsigned int worker,
    struct jh_str id)
{
	struct record *rec = find_received(ck, id);
	unsigned int n;
	double allowed;

	if (rec == NULL)
		return;
	n = soak_limit_checker_arrived(ck->limits, now, worker,
	    rec->request.router,
	    ck->routers[rec->request.router].interrupted +
			ck->bounds.connected_after >=
		    now ||
		!worker_undisturbed(ck, worker, now),
	    stalled_until(ck, now), &allowed);
	if (n > 0)
		soak_checker_add_violation(ck, now, "LIMIT",
		    "worker %u got %u requests, %.1f are allowed", worker, n,
		    allowed);
	check_notices(ck, now, worker, rec);
}

void
soak_checker_refused(struct soak_checker *ck, uint64_t now, unsigned int worker,
    struct jh_str id, uint64_t until)
{
	struct record *rec = find_received(ck, id);

	if (rec != NULL && rec->outcome == WAITING)
		soak_notice_checker_refused(ck->notices, now, worker,
		    rec->request.router, until, stalled_until(ck, now));
}

void
soak_checker_rate_limit(
    struct soak_checker *ck, uint64_t now, unsigned int worker, double limit)
{
	soak_limit_checker_named(ck->limits, now, worker, limit);
}

void
soak_checker_worker_started(
    struct soak_checker *ck, uint64_t now, unsigned int worker)
{
	soak_limit_checker_restarted(ck->limits, now, worker);
	soak_notice_checker_restarted(ck->notices, now, worker);
}

void
soak_checker_execution_ended(struct soak_checker *ck, uint64_t now,
    unsigned int worker, struct jh_str id)
{
	struct record *rec = find_received(ck, id);

	if (rec == NULL)
		return;
	end_overlap(ck, rec, worker);
	if (worker == rec->worker)
		rec->ended = now;
	if (rec->outcome != ABANDONED ||
	    !soak_checker_router_undisturbed(ck, rec->request.router, now) ||
	    !worker_undisturbed(ck, rec->worker, now))
		return;
	ck->cancelled++;
	if (now > rec->closed + ck->bounds.cancel)
		ck->late_executions++;
}

void
soak_checker_load_order(struct soak_checker *ck, uint64_t now,
    unsigned int worker, const char *holder, uint64_t token)
{
	struct worker_state *w = &ck->workers[worker];
	const char *known = g_hash_table_lookup(ck->holders, &token);

	if (known == NULL)
		g_hash_table_insert(ck->holders,
		    g_memdup2(&token, sizeof(token)), g_strdup(holder));
	else if (strcmp(known, holder) != 0)
		soak_checker_add_violation(ck, now, "ONE",
		    "token %llu is used by %s and %s",
		    (unsigned long long)token, known, holder);
	if (token < w->token &&
	    now > ck->any_disturbed + ck->bounds.order_grace)
		soak_checker_add_violation(ck, now, "ONE",
		    "worker %u accepted token %llu of %s after %llu of %s",
		    worker, (unsigned long long)token, holder,
		    (unsigned long long)w->token, w->holder);
	if (token < w->token)
		return;
	w->token = token;
	g_free(w->holder);
	w->holder = g_strdup(holder);
}

void
soak_checker_quota(
    struct soak_checker *ck, uint64_t now, const struct soak_quota *q)
{
	ck->has_quotas = true;
	soak_quota_checker_set(ck->quotas, now, q);
}

void
soak_checker_config_changed(struct soak_checker *ck, uint64_t now)
{
	ck->config_changed = now;
}

void
soak_checker_draining(
    struct soak_checker *ck, unsigned int worker, uint64_t since)
{
	ck->workers[worker].draining = since;
}

static void
extend(uint64_t *at, uint64_t until)
{
	*at = MAX(*at, until);
}

void
soak_checker_disturb_router(
    struct soak_checker *ck, unsigned int router, uint64_t until, bool planned)
{
	extend(&ck->routers[router].disturbed, until);
	if (!planned)
		extend(&ck->routers[router].unplanned, until);
	extend(&ck->any_disturbed, until);
}

void
soak_checker_interrupt_router(
    struct soak_checker *ck, unsigned int router, uint64_t until)
{
	extend(&ck->routers[router].interrupted, until);
}

void
soak_checker_disturb_worker(
    struct soak_checker *ck, unsigned int worker, uint64_t until)
{
	extend(&ck->workers[worker].injected, until);
	extend(&ck->workers[worker].disturbed, until);
	extend(&ck->any_disturbed, until);
}

void
soak_checker_crashed_by_part(
    struct soak_checker *ck, uint64_t now, unsigned int worker, uint64_t until)
{
	soak_part_checker_crashed(ck->parts, now);
	ck->totals.part_crashes++;
	extend(&ck->workers[worker].disturbed, until);
	extend(&ck->any_disturbed, until);
}

void
soak_checker_disturb_store(struct soak_checker *ck, uint64_t until)
{
	extend(&ck->store_disturbed, until);
	extend(&ck->any_disturbed, until);
}

void
soak_checker_finish(struct soak_checker *ck, uint64_t now)
{
	if (ck->late_executions > MAX_LATE_EXECUTIONS &&
	    ck->late_executions > MAX_LATE_RATIO * ck->cancelled)
		soak_checker_add_violation(ck, now, "GONE",
		    "%u of %u executions went on after their clients left",
		    ck->late_executions, ck->cancelled);
	soak_part_checker_finish(ck->parts, now, ck);
	if (ck->n_violations > MAX_VIOLATIONS)
		g_ptr_array_add(
		    ck->violations, g_strdup_printf("and %u more faults",
					ck->n_violations - MAX_VIOLATIONS));
}

const GPtrArray *
soak_checker_violations(const struct soak_checker *ck)
{
	return ck->violations;
}

struct soak_totals
soak_checker_totals(const struct soak_checker *ck)
{
	return ck->totals;
}

/* Such refusals are judged by check_quota_refusal(). */
static bool
is_over_quota(const struct soak_checker *ck, const struct record *rec)
{
	return rec->status == STATUS_OVER_QUOTA &&
	       soak_quota_checker_has(ck->quotas, rec->request.org);
}

double
soak_checker_success_ratio(const struct soak_checker *ck, uint64_t t)
{
	unsigned int n = 0, served = 0;
	guint i;

	for (i = 0; i < ck->order->len; i++) {
		const struct record *rec = g_ptr_array_index(ck->order, i);
		if (rec->request.sent < t ||
		    rec->request.permission != SOAK_ALLOWED ||
		    rec->request.crashes_workers || rec->outcome == ABANDONED ||
		    rec->outcome == WAITING || is_over_quota(ck, rec))
			continue;
		n++;
		if (rec->outcome == RESPONDED && rec->status < 300)
			served++;
	}
	return n == 0 ? 1 : (double)served / n;
}
