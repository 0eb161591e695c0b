#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/worker.h"
#include "soak/ledger.h"

/* Lost responses that are tolerated (LOST allows three). */
#define MAX_LOST_RESPONSES 3
/* Executions that may outlive their clients: a few, and a quarter (GONE). */
#define MAX_LATE_EXECUTIONS 5
#define MAX_LATE_RATIO 0.25
/* Violations beyond this number are counted but not recorded. */
#define MAX_VIOLATIONS 50

enum outcome { WAITING, RESPONDED, BROKEN, ABANDONED, TIMED_OUT };

struct record {
	struct soak_request r;
	enum outcome outcome;
	unsigned int status;
	uint64_t closed; /* when the outcome became known */
	unsigned int runs;
	unsigned int worker; /* of the last execution */
	uint64_t ran; /* start of the last execution */
	uint64_t ended; /* end of the last execution; 0: still running */
	bool unsound; /* a faulty worker executed it */
};

struct router_state {
	uint64_t disturbed; /* until then, by any fault */
	uint64_t unplanned; /* until then, except by planned stops */
};

struct worker_state {
	uint64_t disturbed;
	uint64_t draining; /* since then; 0: not draining */
	uint64_t token;
	char *holder;
};

struct soak_ledger {
	struct soak_bounds b;
	GHashTable *records; /* struct record by request id */
	GPtrArray *order; /* struct record, in the order sent */
	GHashTable *holders; /* token to holder */
	struct router_state *entries;
	struct worker_state *workers;
	uint64_t store;
	uint64_t any_trouble; /* end of the last fault anywhere */
	uint64_t configured; /* last change of what is allowed */
	unsigned int lost, stopped_late, stopped;
	GPtrArray *faults;
	unsigned int n_faults;
	struct soak_totals totals;
};

static void
free_record(void *p)
{
	struct record *rec = p;

	g_free(rec->r.id);
	g_free(rec->r.target);
	g_free(rec->r.body);
	g_free(rec);
}

struct soak_ledger *
soak_ledger_create(const struct soak_bounds *b)
{
	struct soak_ledger *ck = g_new0(struct soak_ledger, 1);

	ck->b = *b;
	ck->records = g_hash_table_new(g_str_hash, g_str_equal);
	ck->order = g_ptr_array_new_with_free_func(free_record);
	ck->holders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	ck->entries = g_new0(struct router_state, b->entries);
	ck->workers = g_new0(struct worker_state, b->workers);
	ck->faults = g_ptr_array_new_with_free_func(g_free);
	return ck;
}

void
soak_ledger_destroy(struct soak_ledger *ck)
{
	unsigned int i;

	for (i = 0; i < ck->b.workers; i++)
		g_free(ck->workers[i].holder);
	g_hash_table_destroy(ck->records);
	g_hash_table_destroy(ck->holders);
	g_ptr_array_free(ck->order, TRUE);
	g_ptr_array_free(ck->faults, TRUE);
	g_free(ck->entries);
	g_free(ck->workers);
	g_free(ck);
}

void
soak_ledger_fault(struct soak_ledger *ck, uint64_t now, const char *rule,
    const char *format, ...)
{
	va_list args;
	char *text;

	if (ck->n_faults++ >= MAX_VIOLATIONS)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(ck->faults,
	    g_strdup_printf("%.3f %s: %s", (double)now / 1e6, rule, text));
	g_free(text);
}

static struct record *
find_record(struct soak_ledger *ck, const char *id)
{
	return g_hash_table_lookup(ck->records, id);
}

bool
soak_ledger_in_touch(
    const struct soak_ledger *ck, unsigned int router, uint64_t t)
{
	return ck->entries[router].disturbed + ck->b.contact < t;
}

bool
soak_ledger_store_calm(const struct soak_ledger *ck, uint64_t t)
{
	return ck->store + ck->b.contact < t;
}

static bool
worker_undisturbed(
    const struct soak_ledger *ck, unsigned int worker, uint64_t t)
{
	return ck->workers[worker].disturbed + ck->b.contact < t;
}

void
soak_ledger_sent(struct soak_ledger *ck, const struct soak_request *r)
{
	struct record *rec = g_new0(struct record, 1);

	rec->r = *r;
	g_hash_table_insert(ck->records, rec->r.id, rec);
	g_ptr_array_add(ck->order, rec);
	ck->totals.sent++;
}

/*
 * Whether the request is allowed. If the configuration changed after it was
 * sent, either configuration may have decided on it.
 */
static enum soak_right
permission_of(const struct soak_ledger *ck, const struct record *rec)
{
	if (rec->r.varies && ck->configured >= rec->r.sent)
		return SOAK_UNSURE;
	return rec->r.right;
}

static bool
states_not_executed(unsigned int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* The complete body; a stream has the events 1 to n, each once. */
static GString *
expected_body(const struct record *rec)
{
	GString *s = g_string_new(NULL);
	int i;

	if (rec->r.kind != SOAK_STREAM)
		g_string_append_printf(s, "done %s", rec->r.id);
	else
		for (i = 1; i <= FAKE_WORKER_EVENTS; i++)
			g_string_append_printf(
			    s, "id: %d\ndata: t%d\n\n", i, i);
	return s;
}

/* Whether the body is as expected, or its beginning if it is incomplete. */
static bool
body_matches(const struct record *rec, const struct soak_answer *a)
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
check_success(struct soak_ledger *ck, uint64_t now, const struct record *rec,
    const struct soak_answer *a)
{
	if (!seal_matches(a->seal, rec->r.id) ||
	    !jh_str_eq(a->id, jh_str_from(rec->r.id)))
		soak_ledger_fault(ck, now, "MIXED",
		    "request %s got the response to another request",
		    rec->r.id);
	if (!body_matches(rec, a))
		soak_ledger_fault(ck, now,
		    rec->r.kind == SOAK_STREAM ? "ORDER" : "MIXED",
		    "request %s got a wrong body of %zu bytes", rec->r.id,
		    a->body.len);
	if (rec->runs == 0)
		soak_ledger_fault(ck, now, "MIXED",
		    "request %s succeeded although no worker has run it",
		    rec->r.id);
	if (permission_of(ck, rec) == SOAK_FORBIDDEN)
		soak_ledger_fault(ck, now, "CONFIG",
		    "request %s to %s succeeded", rec->r.id, rec->r.target);
}

static void
check_failure(struct soak_ledger *ck, uint64_t now, const struct record *rec,
    const struct soak_answer *a)
{
	if (a->seal.len != 0 && a->status != 500)
		soak_ledger_fault(ck, now, "MIXED",
		    "request %s has a worker's seal and status %u", rec->r.id,
		    a->status);
	if (states_not_executed(a->status) && rec->runs > 0 &&
	    rec->r.kind != SOAK_AGAIN)
		soak_ledger_fault(ck, now, "REFUSED",
		    "request %s has run and got %u", rec->r.id, a->status);
	if (a->status >= 300 && a->status < 500 &&
	    !states_not_executed(a->status) &&
	    permission_of(ck, rec) == SOAK_ALLOWED)
		soak_ledger_fault(ck, now, "DENIED",
		    "request %s to %s got %u from entry %u", rec->r.id,
		    rec->r.target, a->status, rec->r.entry);
}

void
soak_ledger_answered(struct soak_ledger *ck, uint64_t now, const char *id,
    const struct soak_answer *a)
{
	struct record *rec = find_record(ck, id);

	rec->outcome = a->complete ? RESPONDED : BROKEN;
	rec->status = a->status;
	rec->closed = now;
	if (a->status >= 200 && a->status < 300) {
		check_success(ck, now, rec, a);
		if (a->complete)
			ck->totals.served++;
	} else {
		check_failure(ck, now, rec, a);
		if (states_not_executed(a->status))
			ck->totals.refused++;
		else
			ck->totals.failed++;
	}
	if (!a->complete)
		soak_ledger_broken(ck, now, id);
}

/* Whether a healthy worker had the request and no fault excuses the router. */
static bool
is_lost(const struct soak_ledger *ck, const struct record *rec)
{
	return rec->runs > 0 && !rec->unsound &&
	       worker_undisturbed(ck, rec->worker, rec->r.sent) &&
	       ck->workers[rec->worker].draining == 0 &&
	       ck->entries[rec->r.entry].unplanned + ck->b.contact <
		   rec->r.sent;
}

void
soak_ledger_broken(struct soak_ledger *ck, uint64_t now, const char *id)
{
	struct record *rec = find_record(ck, id);

	rec->outcome = BROKEN;
	rec->closed = now;
	ck->totals.broken++;
	if (!is_lost(ck, rec))
		return;
	if (++ck->lost > MAX_LOST_RESPONSES)
		soak_ledger_fault(ck, now, "LOST",
		    "request %s to entry %u ran at worker %u and got no "
		    "complete answer",
		    id, rec->r.entry, rec->worker);
}

void
soak_ledger_left(struct soak_ledger *ck, uint64_t now, const char *id)
{
	struct record *rec = find_record(ck, id);

	rec->outcome = ABANDONED;
	rec->closed = now;
	ck->totals.left++;
}

void
soak_ledger_unanswered(struct soak_ledger *ck, uint64_t now, const char *id)
{
	struct record *rec = find_record(ck, id);

	rec->outcome = TIMED_OUT;
	rec->closed = now;
	if (soak_ledger_in_touch(ck, rec->r.entry, rec->r.sent))
		soak_ledger_fault(ck, now, "CONFIG",
		    "request %s to entry %u has no answer after its timeout",
		    id, rec->r.entry);
}

/* Whether no fault can delay the request between client and worker. */
static bool
path_undisturbed(const struct soak_ledger *ck, const struct record *rec,
    unsigned int worker, uint64_t now)
{
	return soak_ledger_in_touch(ck, rec->r.entry, now) &&
	       worker_undisturbed(ck, worker, now);
}

static void
check_forwarded(struct soak_ledger *ck, uint64_t now, const struct record *rec,
    const struct soak_execution *execution)
{
	uint64_t end = rec->r.sent + rec->r.timeout;
	uint64_t left = (uint64_t)execution->left_msec * JH_USEC_PER_MSEC;

	if (!jh_str_eq(execution->method, jh_str_from(rec->r.method)) ||
	    !jh_str_eq(execution->target, jh_str_from(rec->r.target)) ||
	    !jh_str_eq(execution->body, jh_str_from(rec->r.body)))
		soak_ledger_fault(ck, now, "UNASKED",
		    "request %s was changed on its way", rec->r.id);
	if (!jh_str_eq(execution->tenant, jh_str_from(rec->r.tenant)) ||
	    !jh_str_eq(execution->model, jh_str_from(rec->r.model)) ||
	    execution->has_key || execution->has_hold)
		soak_ledger_fault(ck, now, "UNASKED",
		    "request %s has wrong header fields: organisation \"%.*s\"",
		    rec->r.id, (int)execution->tenant.len,
		    execution->tenant.ptr);
	/* The delay of a slow link is not the router's. */
	if (execution->left_msec < 0 || left > rec->r.timeout + ck->b.answer ||
	    (now + left > end + ck->b.answer &&
		path_undisturbed(ck, rec, execution->worker, now)))
		soak_ledger_fault(ck, now, "BUDGET",
		    "request %s was forwarded with %lld ms left", rec->r.id,
		    (long long)execution->left_msec);
}

static void
check_allowed(struct soak_ledger *ck, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	if (!rec->r.key_ever)
		soak_ledger_fault(ck, now, "ROUTE",
		    "request %s ran without a valid route or key", rec->r.id);
	if (permission_of(ck, rec) == SOAK_FORBIDDEN)
		soak_ledger_fault(ck, now, "CONFIG",
		    "request %s to %s ran at entry %u after its permission was "
		    "withdrawn",
		    rec->r.id, rec->r.target, rec->r.entry);
	if (rec->runs > 0 && rec->r.kind == SOAK_ONCE)
		soak_ledger_fault(
		    ck, now, "TWICE", "request %s ran again", rec->r.id);
	if (rec->outcome == RESPONDED && states_not_executed(rec->status) &&
	    rec->r.kind != SOAK_AGAIN)
		soak_ledger_fault(ck, now, "REFUSED",
		    "request %s ran after it got %u", rec->r.id, rec->status);
	if (rec->outcome == ABANDONED && now > rec->closed + ck->b.stop &&
	    path_undisturbed(ck, rec, worker, now))
		soak_ledger_fault(ck, now, "GONE",
		    "request %s reached a worker %.0f ms after its client left",
		    rec->r.id, (double)(now - rec->closed) / 1e3);
}

static void
check_worker(struct soak_ledger *ck, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	const struct worker_state *w = &ck->workers[worker];

	if (w->draining == 0 || now < w->draining + ck->b.drain ||
	    !soak_ledger_in_touch(ck, rec->r.entry, now) ||
	    !soak_ledger_store_calm(ck, w->draining))
		return;
	soak_ledger_fault(ck, now, "DRAIN",
	    "request %s reached worker %u %.0f ms after it was known to be "
	    "leaving",
	    rec->r.id, worker, (double)(now - w->draining) / 1e3);
}

void
soak_ledger_ran(struct soak_ledger *ck, uint64_t now,
    const struct soak_execution *execution)
{
	char *id = jh_str_dup(execution->id);
	struct record *rec = find_record(ck, id);

	ck->totals.ran++;
	if (rec == NULL) {
		soak_ledger_fault(
		    ck, now, "UNASKED", "no client sent request \"%s\"", id);
		g_free(id);
		return;
	}
	g_free(id);
	check_forwarded(ck, now, rec, execution);
	check_allowed(ck, now, rec, execution->worker);
	check_worker(ck, now, rec, execution->worker);
	if (rec->runs > 0 && rec->ended == 0 && rec->r.kind == SOAK_STREAM &&
	    execution->last_event > 0 &&
	    worker_undisturbed(ck, rec->worker, now) &&
	    soak_ledger_in_touch(ck, rec->r.entry, now))
		soak_ledger_fault(ck, now, "TWICE",
		    "stream %s goes on while worker %u still works on it",
		    rec->r.id, rec->worker);
	rec->runs++;
	rec->worker = execution->worker;
	rec->unsound = rec->unsound || execution->unsound;
	rec->ran = now;
	rec->ended = 0;
}

void
soak_ledger_ended(struct soak_ledger *ck, uint64_t now, struct jh_str id)
{
	char *key = jh_str_dup(id);
	struct record *rec = find_record(ck, key);

	g_free(key);
	if (rec == NULL)
		return;
	rec->ended = now;
	if (rec->outcome != ABANDONED ||
	    !soak_ledger_in_touch(ck, rec->r.entry, now) ||
	    !worker_undisturbed(ck, rec->worker, now))
		return;
	ck->stopped++;
	if (now > rec->closed + ck->b.stop)
		ck->stopped_late++;
}

void
soak_ledger_order(struct soak_ledger *ck, uint64_t now, unsigned int worker,
    const char *holder, uint64_t token)
{
	struct worker_state *w = &ck->workers[worker];
	const char *known = g_hash_table_lookup(ck->holders, &token);

	if (known == NULL)
		g_hash_table_insert(ck->holders,
		    g_memdup2(&token, sizeof(token)), g_strdup(holder));
	else if (strcmp(known, holder) != 0)
		soak_ledger_fault(ck, now, "ONE",
		    "token %llu is used by %s and %s",
		    (unsigned long long)token, known, holder);
	if (token < w->token && now > ck->any_trouble + ck->b.thaw)
		soak_ledger_fault(ck, now, "ONE",
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
soak_ledger_configured(struct soak_ledger *ck, uint64_t now)
{
	ck->configured = now;
}

void
soak_ledger_draining(
    struct soak_ledger *ck, unsigned int worker, uint64_t since)
{
	ck->workers[worker].draining = since;
}

static void
extend(uint64_t *at, uint64_t until)
{
	*at = MAX(*at, until);
}

void
soak_ledger_disturb_entry(
    struct soak_ledger *ck, unsigned int router, uint64_t until, bool planned)
{
	extend(&ck->entries[router].disturbed, until);
	if (!planned)
		extend(&ck->entries[router].unplanned, until);
	extend(&ck->any_trouble, until);
}

void
soak_ledger_disturb_worker(
    struct soak_ledger *ck, unsigned int worker, uint64_t until)
{
	extend(&ck->workers[worker].disturbed, until);
	extend(&ck->any_trouble, until);
}

void
soak_ledger_disturb_store(struct soak_ledger *ck, uint64_t until)
{
	extend(&ck->store, until);
	extend(&ck->any_trouble, until);
}

void
soak_ledger_finish(struct soak_ledger *ck, uint64_t now)
{
	if (ck->stopped_late > MAX_LATE_EXECUTIONS &&
	    ck->stopped_late > MAX_LATE_RATIO * ck->stopped)
		soak_ledger_fault(ck, now, "GONE",
		    "%u of %u executions went on after their clients left",
		    ck->stopped_late, ck->stopped);
	if (ck->n_faults > MAX_VIOLATIONS)
		g_ptr_array_add(
		    ck->faults, g_strdup_printf("and %u more faults",
				    ck->n_faults - MAX_VIOLATIONS));
}

const GPtrArray *
soak_ledger_faults(const struct soak_ledger *ck)
{
	return ck->faults;
}

struct soak_totals
soak_ledger_totals(const struct soak_ledger *ck)
{
	return ck->totals;
}

double
soak_ledger_share(const struct soak_ledger *ck, uint64_t t)
{
	unsigned int n = 0, served = 0;
	guint i;

	for (i = 0; i < ck->order->len; i++) {
		const struct record *rec = g_ptr_array_index(ck->order, i);
		if (rec->r.sent < t || rec->r.right != SOAK_ALLOWED ||
		    rec->outcome == ABANDONED || rec->outcome == WAITING)
			continue;
		n++;
		if (rec->outcome == RESPONDED && rec->status < 300)
			served++;
	}
	return n == 0 ? 1 : (double)served / n;
}
