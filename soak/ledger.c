#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/worker.h"
#include "soak/ledger.h"

/* Broken answers of this many requests are borne (LOST allows three). */
#define LOST_BORNE 3
/* Runs that outlive their callers: a quarter, and a few (GONE). */
#define LATE_BORNE 5
#define LATE_SHARE 0.25
/* Faults past this many are only counted. */
#define MAX_FAULTS 50

enum outcome { WAITING, ANSWERED, BROKEN, LEFT, UNANSWERED };

struct record {
	struct soak_request r;
	enum outcome outcome;
	unsigned int status;
	uint64_t closed; /* answered, broken or left */
	unsigned int runs;
	unsigned int worker; /* of the last run */
	uint64_t ran; /* the last run's begin */
	uint64_t ended; /* the last run's end; 0: still runs */
	bool unsound; /* some run was by a worker in trouble */
};

struct entry {
	uint64_t disturbed; /* until then, by anything */
	uint64_t unplanned;
};

struct worker {
	uint64_t disturbed;
	uint64_t draining; /* since then; 0: it is not */
	uint64_t token;
	char *holder;
};

struct soak_ledger {
	struct soak_bounds b;
	GHashTable *records; /* by id */
	GPtrArray *order; /* struct record, as sent */
	GHashTable *holders; /* token to holder */
	struct entry *entries;
	struct worker *workers;
	uint64_t store;
	uint64_t any_trouble; /* until then, anywhere */
	uint64_t configured; /* the last change of what is allowed */
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
	struct soak_ledger *l = g_new0(struct soak_ledger, 1);

	l->b = *b;
	l->records = g_hash_table_new(g_str_hash, g_str_equal);
	l->order = g_ptr_array_new_with_free_func(free_record);
	l->holders =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	l->entries = g_new0(struct entry, b->entries);
	l->workers = g_new0(struct worker, b->workers);
	l->faults = g_ptr_array_new_with_free_func(g_free);
	return l;
}

void
soak_ledger_destroy(struct soak_ledger *l)
{
	unsigned int i;

	for (i = 0; i < l->b.workers; i++)
		g_free(l->workers[i].holder);
	g_hash_table_destroy(l->records);
	g_hash_table_destroy(l->holders);
	g_ptr_array_free(l->order, TRUE);
	g_ptr_array_free(l->faults, TRUE);
	g_free(l->entries);
	g_free(l->workers);
	g_free(l);
}

void
soak_ledger_fault(struct soak_ledger *l, uint64_t now, const char *rule,
    const char *format, ...)
{
	va_list args;
	char *text;

	if (l->n_faults++ >= MAX_FAULTS)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(l->faults,
	    g_strdup_printf("%.3f %s: %s", (double)now / 1e6, rule, text));
	g_free(text);
}

static struct record *
find(struct soak_ledger *l, const char *id)
{
	return g_hash_table_lookup(l->records, id);
}

bool
soak_ledger_in_touch(
    const struct soak_ledger *l, unsigned int entry, uint64_t t)
{
	return l->entries[entry].disturbed + l->b.contact < t;
}

bool
soak_ledger_store_calm(const struct soak_ledger *l, uint64_t t)
{
	return l->store + l->b.contact < t;
}

static bool
worker_calm(const struct soak_ledger *l, unsigned int worker, uint64_t t)
{
	return l->workers[worker].disturbed + l->b.contact < t;
}

void
soak_ledger_sent(struct soak_ledger *l, const struct soak_request *r)
{
	struct record *rec = g_new0(struct record, 1);

	rec->r = *r;
	g_hash_table_insert(l->records, rec->r.id, rec);
	g_ptr_array_add(l->order, rec);
	l->totals.sent++;
}

/*
 * Whether the request was and is allowed. What was sent before a configuration
 * may be judged by it.
 */
static enum soak_right
right_of(const struct soak_ledger *l, const struct record *rec)
{
	if (rec->r.varies && l->configured >= rec->r.sent)
		return SOAK_UNSURE;
	return rec->r.right;
}

static bool
is_promise(unsigned int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* The whole body; a stream's events are 1 to n, each once. */
static GString *
whole_body(const struct record *rec)
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

/* An incomplete answer may have the beginning only. */
static bool
is_body(const struct record *rec, const struct soak_answer *a)
{
	GString *want = whole_body(rec);
	bool ok;

	ok = a->body.len <= want->len &&
	     memcmp(a->body.ptr, want->str, a->body.len) == 0 &&
	     (!a->complete || a->body.len == want->len);
	g_string_free(want, TRUE);
	return ok;
}

static bool
seals(struct jh_str seal, const char *id)
{
	size_t n = strlen(id);

	return seal.len > n + 1 && seal.ptr[seal.len - n - 1] == '.' &&
	       memcmp(seal.ptr + seal.len - n, id, n) == 0;
}

static void
check_success(struct soak_ledger *l, uint64_t now, const struct record *rec,
    const struct soak_answer *a)
{
	if (!seals(a->seal, rec->r.id) ||
	    !jh_str_eq(a->id, jh_str_from(rec->r.id)))
		soak_ledger_fault(l, now, "MIXED",
		    "request %s got a success that is not its own", rec->r.id);
	if (!is_body(rec, a))
		soak_ledger_fault(l, now,
		    rec->r.kind == SOAK_STREAM ? "ORDER" : "MIXED",
		    "request %s got a wrong body of %zu bytes", rec->r.id,
		    a->body.len);
	if (rec->runs == 0)
		soak_ledger_fault(l, now, "MIXED",
		    "request %s succeeded without a run", rec->r.id);
	if (right_of(l, rec) == SOAK_FORBIDDEN)
		soak_ledger_fault(l, now, "CONFIG",
		    "request %s to %s succeeded", rec->r.id, rec->r.target);
}

static void
check_failure(struct soak_ledger *l, uint64_t now, const struct record *rec,
    const struct soak_answer *a)
{
	if (a->seal.len != 0 && a->status != 500)
		soak_ledger_fault(l, now, "MIXED",
		    "request %s has a worker's proof and status %u", rec->r.id,
		    a->status);
	if (is_promise(a->status) && rec->runs > 0 && rec->r.kind != SOAK_AGAIN)
		soak_ledger_fault(l, now, "REFUSED",
		    "request %s has run and got %u", rec->r.id, a->status);
	if (a->status >= 300 && a->status < 500 && !is_promise(a->status) &&
	    right_of(l, rec) == SOAK_ALLOWED)
		soak_ledger_fault(l, now, "DENIED",
		    "request %s to %s got %u from entry %u", rec->r.id,
		    rec->r.target, a->status, rec->r.entry);
}

void
soak_ledger_answered(struct soak_ledger *l, uint64_t now, const char *id,
    const struct soak_answer *a)
{
	struct record *rec = find(l, id);

	rec->outcome = a->complete ? ANSWERED : BROKEN;
	rec->status = a->status;
	rec->closed = now;
	if (a->status >= 200 && a->status < 300) {
		check_success(l, now, rec, a);
		if (a->complete)
			l->totals.served++;
	} else {
		check_failure(l, now, rec, a);
		if (is_promise(a->status))
			l->totals.refused++;
		else
			l->totals.failed++;
	}
	if (!a->complete)
		soak_ledger_broken(l, now, id);
}

/* The request was with a sound worker, and nothing excuses the entry. */
static bool
is_lost(const struct soak_ledger *l, const struct record *rec)
{
	return rec->runs > 0 && !rec->unsound &&
	       worker_calm(l, rec->worker, rec->r.sent) &&
	       l->workers[rec->worker].draining == 0 &&
	       l->entries[rec->r.entry].unplanned + l->b.contact < rec->r.sent;
}

void
soak_ledger_broken(struct soak_ledger *l, uint64_t now, const char *id)
{
	struct record *rec = find(l, id);

	rec->outcome = BROKEN;
	rec->closed = now;
	l->totals.broken++;
	if (!is_lost(l, rec))
		return;
	if (++l->lost > LOST_BORNE)
		soak_ledger_fault(l, now, "LOST",
		    "request %s to entry %u ran at worker %u and got no whole "
		    "answer",
		    id, rec->r.entry, rec->worker);
}

void
soak_ledger_left(struct soak_ledger *l, uint64_t now, const char *id)
{
	struct record *rec = find(l, id);

	rec->outcome = LEFT;
	rec->closed = now;
	l->totals.left++;
}

void
soak_ledger_unanswered(struct soak_ledger *l, uint64_t now, const char *id)
{
	struct record *rec = find(l, id);

	rec->outcome = UNANSWERED;
	rec->closed = now;
	if (soak_ledger_in_touch(l, rec->r.entry, rec->r.sent))
		soak_ledger_fault(l, now, "CONFIG",
		    "request %s to entry %u has no answer past its timeout", id,
		    rec->r.entry);
}

/* Nothing between caller and worker holds the request up. */
static bool
is_prompt(const struct soak_ledger *l, const struct record *rec,
    unsigned int worker, uint64_t now)
{
	return soak_ledger_in_touch(l, rec->r.entry, now) &&
	       worker_calm(l, worker, now);
}

static void
check_forwarded(struct soak_ledger *l, uint64_t now, const struct record *rec,
    const struct soak_run *run)
{
	uint64_t end = rec->r.sent + rec->r.timeout;
	uint64_t left = (uint64_t)run->left_msec * JH_USEC_PER_MSEC;

	if (!jh_str_eq(run->method, jh_str_from(rec->r.method)) ||
	    !jh_str_eq(run->target, jh_str_from(rec->r.target)) ||
	    !jh_str_eq(run->body, jh_str_from(rec->r.body)))
		soak_ledger_fault(l, now, "UNASKED",
		    "request %s was changed on its way", rec->r.id);
	if (!jh_str_eq(run->tenant, jh_str_from(rec->r.tenant)) ||
	    !jh_str_eq(run->model, jh_str_from(rec->r.model)) || run->has_key ||
	    run->has_hold)
		soak_ledger_fault(l, now, "UNASKED",
		    "request %s has wrong fields: tenant \"%.*s\"", rec->r.id,
		    (int)run->tenant.len, run->tenant.ptr);
	/* What a slow link adds is not the entry's. */
	if (run->left_msec < 0 || left > rec->r.timeout + l->b.answer ||
	    (now + left > end + l->b.answer &&
		is_prompt(l, rec, run->worker, now)))
		soak_ledger_fault(l, now, "BUDGET",
		    "request %s was handed %lld ms", rec->r.id,
		    (long long)run->left_msec);
}

static void
check_allowed(struct soak_ledger *l, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	if (!rec->r.key_ever)
		soak_ledger_fault(l, now, "ROUTE",
		    "request %s ran by a route or key that never was",
		    rec->r.id);
	if (right_of(l, rec) == SOAK_FORBIDDEN)
		soak_ledger_fault(l, now, "CONFIG",
		    "request %s to %s ran at entry %u after it was withdrawn",
		    rec->r.id, rec->r.target, rec->r.entry);
	if (rec->runs > 0 && rec->r.kind == SOAK_ONCE)
		soak_ledger_fault(
		    l, now, "TWICE", "request %s ran again", rec->r.id);
	if (rec->outcome == ANSWERED && is_promise(rec->status) &&
	    rec->r.kind != SOAK_AGAIN)
		soak_ledger_fault(l, now, "REFUSED",
		    "request %s ran after it got %u", rec->r.id, rec->status);
	if (rec->outcome == LEFT && now > rec->closed + l->b.stop &&
	    is_prompt(l, rec, worker, now))
		soak_ledger_fault(l, now, "GONE",
		    "request %s reached a worker %.0f ms after its caller left",
		    rec->r.id, (double)(now - rec->closed) / 1e3);
}

static void
check_worker(struct soak_ledger *l, uint64_t now, const struct record *rec,
    unsigned int worker)
{
	const struct worker *w = &l->workers[worker];

	if (w->draining == 0 || now < w->draining + l->b.drain ||
	    !soak_ledger_in_touch(l, rec->r.entry, now) ||
	    !soak_ledger_store_calm(l, w->draining))
		return;
	soak_ledger_fault(l, now, "DRAIN",
	    "request %s reached worker %u %.0f ms after it was leaving",
	    rec->r.id, worker, (double)(now - w->draining) / 1e3);
}

void
soak_ledger_ran(struct soak_ledger *l, uint64_t now, const struct soak_run *run)
{
	char *id = jh_str_dup(run->id);
	struct record *rec = find(l, id);

	l->totals.ran++;
	if (rec == NULL) {
		soak_ledger_fault(
		    l, now, "UNASKED", "nobody sent request \"%s\"", id);
		g_free(id);
		return;
	}
	g_free(id);
	check_forwarded(l, now, rec, run);
	check_allowed(l, now, rec, run->worker);
	check_worker(l, now, rec, run->worker);
	if (rec->runs > 0 && rec->ended == 0 && rec->r.kind == SOAK_STREAM &&
	    run->last_event > 0 && worker_calm(l, rec->worker, now) &&
	    soak_ledger_in_touch(l, rec->r.entry, now))
		soak_ledger_fault(l, now, "TWICE",
		    "stream %s goes on while worker %u still works on it",
		    rec->r.id, rec->worker);
	rec->runs++;
	rec->worker = run->worker;
	rec->unsound = rec->unsound || run->unsound;
	rec->ran = now;
	rec->ended = 0;
}

void
soak_ledger_ended(struct soak_ledger *l, uint64_t now, struct jh_str id)
{
	char *key = jh_str_dup(id);
	struct record *rec = find(l, key);

	g_free(key);
	if (rec == NULL)
		return;
	rec->ended = now;
	if (rec->outcome != LEFT ||
	    !soak_ledger_in_touch(l, rec->r.entry, now) ||
	    !worker_calm(l, rec->worker, now))
		return;
	l->stopped++;
	if (now > rec->closed + l->b.stop)
		l->stopped_late++;
}

void
soak_ledger_order(struct soak_ledger *l, uint64_t now, unsigned int worker,
    const char *holder, uint64_t token)
{
	struct worker *w = &l->workers[worker];
	const char *known = g_hash_table_lookup(l->holders, &token);

	if (known == NULL)
		g_hash_table_insert(l->holders,
		    g_memdup2(&token, sizeof(token)), g_strdup(holder));
	else if (strcmp(known, holder) != 0)
		soak_ledger_fault(l, now, "ONE",
		    "token %llu is used by %s and %s",
		    (unsigned long long)token, known, holder);
	if (token < w->token && now > l->any_trouble + l->b.thaw)
		soak_ledger_fault(l, now, "ONE",
		    "worker %u takes token %llu of %s after %llu of %s", worker,
		    (unsigned long long)token, holder,
		    (unsigned long long)w->token, w->holder);
	if (token < w->token)
		return;
	w->token = token;
	g_free(w->holder);
	w->holder = g_strdup(holder);
}

void
soak_ledger_configured(struct soak_ledger *l, uint64_t now)
{
	l->configured = now;
}

void
soak_ledger_draining(struct soak_ledger *l, unsigned int worker, uint64_t since)
{
	l->workers[worker].draining = since;
}

static void
extend(uint64_t *at, uint64_t until)
{
	*at = MAX(*at, until);
}

void
soak_ledger_disturb_entry(
    struct soak_ledger *l, unsigned int entry, uint64_t until, bool planned)
{
	extend(&l->entries[entry].disturbed, until);
	if (!planned)
		extend(&l->entries[entry].unplanned, until);
	extend(&l->any_trouble, until);
}

void
soak_ledger_disturb_worker(
    struct soak_ledger *l, unsigned int worker, uint64_t until)
{
	extend(&l->workers[worker].disturbed, until);
	extend(&l->any_trouble, until);
}

void
soak_ledger_disturb_store(struct soak_ledger *l, uint64_t until)
{
	extend(&l->store, until);
	extend(&l->any_trouble, until);
}

void
soak_ledger_finish(struct soak_ledger *l, uint64_t now)
{
	if (l->stopped_late > LATE_BORNE &&
	    l->stopped_late > LATE_SHARE * l->stopped)
		soak_ledger_fault(l, now, "GONE",
		    "%u of %u runs went on after their callers had left",
		    l->stopped_late, l->stopped);
	if (l->n_faults > MAX_FAULTS)
		g_ptr_array_add(l->faults, g_strdup_printf("and %u more faults",
					       l->n_faults - MAX_FAULTS));
}

const GPtrArray *
soak_ledger_faults(const struct soak_ledger *l)
{
	return l->faults;
}

struct soak_totals
soak_ledger_totals(const struct soak_ledger *l)
{
	return l->totals;
}

double
soak_ledger_share(const struct soak_ledger *l, uint64_t t)
{
	unsigned int n = 0, served = 0;
	guint i;

	for (i = 0; i < l->order->len; i++) {
		const struct record *rec = g_ptr_array_index(l->order, i);
		if (rec->r.sent < t || rec->r.right != SOAK_ALLOWED ||
		    rec->outcome == LEFT || rec->outcome == WAITING)
			continue;
		n++;
		if (rec->outcome == ANSWERED && rec->status < 300)
			served++;
	}
	return n == 0 ? 1 : (double)served / n;
}
