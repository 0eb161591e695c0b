#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/settings.h"
#include "fakes/port.h"
#include "soak/caller.h"
#include "soak/deployment.h"
#include "soak/state.h"

/* Bounds of the users' sheets (bounds in their site files). */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define APPLY_USEC (2500 * JH_USEC_PER_MSEC)
#define DRAIN_USEC (2500 * JH_USEC_PER_MSEC)
#define LATE_USEC (500 * JH_USEC_PER_MSEC)
#define THAW_USEC (300 * JH_USEC_PER_MSEC)

/* Faults begin and end this long after the start and before the end. */
#define WARM_USEC (3 * JH_USEC_PER_SEC)
#define CALM_USEC (11 * JH_USEC_PER_SEC)
/* What is sent from so long before the end on must be served again. */
#define LAST_USEC (3 * JH_USEC_PER_SEC)
#define LEAST_SHARE 0.9

#define WORK_MSEC 15
#define EVENT_MSEC 25

/* One caller in so many leaves early; one request in so many is chunked. */
#define LEAVES 15
#define CHUNKED 4
#define MOST_LEAVE_USEC (200 * JH_USEC_PER_MSEC)

static int64_t
number_of(struct jh_str s)
{
	unsigned long long n;

	return jh_str_number(s, &n) ? (int64_t)n : -1;
}

static void
on_ran(void *arg, struct fake_worker *worker, const struct jh_head *head,
    struct jh_str body)
{
	struct soak_world *w = arg;
	unsigned int number = fake_worker_number(worker);
	struct soak_worker *k = &w->workers[number];
	struct soak_run run = {
	    .id = jh_head_get(head, "X-Jacinthhill-Attempt-Id"),
	    .method = jh_str_from(head->method),
	    .target = jh_head_target(head),
	    .body = body,
	    .tenant = jh_head_get(head, "X-Jacinthhill-Tenant"),
	    .model = jh_head_get(head, "X-Jacinthhill-Model"),
	    .has_key = jh_head_get(head, "Api-Key").ptr != NULL,
	    .has_hold = jh_head_get(head, "X-Jacinthhill-Hold").ptr != NULL,
	    .left_msec = number_of(
		jh_head_get(head, "X-Jacinthhill-Deadline-Milliseconds")),
	    .worker = number,
	    .unsound = k->mode != WORKER_ANSWERS || k->away,
	};
	int64_t last = number_of(jh_head_get(head, "Last-Event-Id"));

	run.last_event = (int)MAX(last, 0);
	soak_ledger_ran(w->ledger, jh_now(), &run);
}

static void
on_run_ended(void *arg, struct fake_worker *worker, struct jh_str id)
{
	struct soak_world *w = arg;

	soak_ledger_ended(w->ledger, jh_now(), id);
}

static void
on_ordered(void *arg, struct fake_worker *worker, const char *holder,
    uint64_t token, unsigned int version)
{
	struct soak_world *w = arg;

	soak_ledger_order(
	    w->ledger, jh_now(), fake_worker_number(worker), holder, token);
}

static const struct fake_worker_ops worker_ops = {
    on_ran, on_run_ended, on_ordered};

/* Whether the versions that may be in force at the entry allow the request. */
static enum soak_right
right_of(const struct soak_world *w, const struct soak_want *want,
    const struct soak_entry *e)
{
	uint64_t now = jh_now();

	if (!want->known)
		return SOAK_FORBIDDEN;
	if (want->parity < 0)
		return SOAK_ALLOWED;
	if (now < w->parity_since + APPLY_USEC ||
	    !soak_ledger_in_touch(w->ledger, e->number, now) ||
	    !soak_ledger_store_calm(w->ledger, now))
		return SOAK_UNSURE;
	return (unsigned int)want->parity == w->config % 2 ? SOAK_ALLOWED
							   : SOAK_FORBIDDEN;
}

/* Fields that a caller may send and that are not to be trusted. */
static void
append_forged(GString *out, GRand *rand)
{
	switch (g_rand_int_range(rand, 0, 12)) {
	case 0:
		g_string_append(out, "X-Jacinthhill-Tenant: t9\r\n");
		break;
	case 1:
		g_string_append(out, "X-Jacinthhill-Hold: 1\r\n");
		break;
	case 2:
		g_string_append(out, "X-Jacinthhill-Cache-Salt: x\r\n");
		break;
	default:
		break;
	}
}

static struct soak_entry *
choose_entry(struct soak_world *w)
{
	unsigned int i, at;

	at =
	    (unsigned int)g_rand_int_range(w->rand, 0, (gint32)w->spec.entries);
	for (i = 0; i < w->spec.entries; i++) {
		struct soak_entry *e = &w->entries[(at + i) % w->spec.entries];
		if (soak_process_runs(e->process) && !e->ends)
			return e;
	}
	return &w->entries[at];
}

static bool
next_order(void *arg, struct soak_order *out)
{
	struct soak_world *w = arg;
	struct soak_want want = soak_want_draw(w->rand);
	struct soak_entry *e = choose_entry(w);
	GString *fields = g_string_new(NULL);
	struct soak_request *r = &out->request;

	if (w->over)
		return false;
	r->id = g_strdup_printf("s%u", ++w->sent);
	r->target = g_strdup_printf("%s%s?q=%s", want.prefix, r->id, r->id);
	r->body = strcmp(want.method, "POST") == 0
		      ? g_strdup_printf("body of %s", r->id)
		      : g_strdup("");
	r->method = want.method;
	r->tenant = want.tenant;
	r->model = want.model;
	r->kind = want.kind;
	r->right = right_of(w, &want, e);
	r->varies = want.parity >= 0;
	r->key_ever = want.known;
	r->entry = e->number;
	r->timeout = SOAK_TIMEOUT_MSEC * JH_USEC_PER_MSEC;
	g_string_append_printf(fields,
	    "X-Jacinthhill-Deadline-Milliseconds: %d\r\n", SOAK_TIMEOUT_MSEC);
	if (want.key[0] != '\0')
		g_string_append_printf(fields, "Api-Key: %s\r\n", want.key);
	if (want.model[0] != '\0')
		g_string_append_printf(fields,
		    "X-Jacinthhill-Model: %s\r\n"
		    "X-Jacinthhill-Token-Counts: 300,20\r\n"
		    "X-Jacinthhill-Prompt-Prefix: a%d:200,f%u:100\r\n",
		    want.model, g_rand_int_range(w->rand, 0, 6), w->sent);
	append_forged(fields, w->rand);
	out->fields = g_string_free(fields, FALSE);
	out->port = e->port;
	out->chunked = g_rand_int_range(w->rand, 0, CHUNKED) == 0;
	if (g_rand_int_range(w->rand, 0, LEAVES) == 0)
		out->leave_usec = (uint64_t)g_rand_int_range(
		    w->rand, 1, (gint32)MOST_LEAVE_USEC);
	return true;
}

static const struct soak_caller_ops caller_ops = {next_order};

static void
create_entry(struct soak_world *w, unsigned int number, unsigned int store)
{
	struct soak_entry *e = &w->entries[number];
	unsigned int clients = fake_port(), link = fake_port();
	struct soak_fault f = {.target = number};
	char *name = g_strdup_printf("e%u", number);
	char *file = g_strdup_printf("%s/e%u.yaml", w->spec.dir, number);
	char *log = g_strdup_printf("%s/e%u.log", w->spec.dir, number);
	struct fake_entry_settings settings = {.name = name,
	    .clients = clients,
	    .readiness = fake_port(),
	    .metrics = fake_port(),
	    .store = link,
	    .grace_sec = SOAK_GRACE_SEC};
	char *argv[] = {(char *)w->spec.program, file, NULL};

	e->world = w;
	e->number = number;
	e->port = fake_port();
	e->callers = soak_link_create(&w->loop, e->port, clients);
	e->store = soak_link_create(&w->loop, link, store);
	if (!fake_entry_settings_write(file, &settings))
		g_error("cannot write %s", file);
	e->process =
	    soak_process_create(&w->loop, argv, log, &soak_entry_ops, e);
	soak_start_entry(w, &f);
	g_free(file);
	g_free(log);
	g_free(name);
}

static void
create_worker(struct soak_world *w, unsigned int number)
{
	bool engine = number < w->spec.engines;
	struct fake_worker_spec spec = {.number = number,
	    .service = engine ? "llm" : "app",
	    .model = engine ? "m1" : NULL,
	    .port = fake_port(),
	    .shown_port = fake_port(),
	    .work_msec = WORK_MSEC,
	    .event_msec = EVENT_MSEC,
	    .ops = &worker_ops,
	    .arg = w};

	w->workers[number].link =
	    soak_link_create(&w->loop, spec.shown_port, spec.port);
	w->workers[number].fake =
	    fake_worker_create(&w->loop, w->objects, &spec);
}

/* What must hold once all is calm again. */
static void
check_end(struct soak_world *w, double share)
{
	uint64_t now = jh_now();
	unsigned int i;

	if (share < LEAST_SHARE)
		soak_ledger_fault(w->ledger, now, "RECOVER",
		    "%.3f of the last requests are served", share);
	for (i = 0; i < w->spec.engines; i++) {
		if (fake_worker_weights(w->workers[i].fake) != w->weights)
			soak_ledger_fault(w->ledger, now, "VERSION",
			    "worker %u has weights %u, not %u", i,
			    fake_worker_weights(w->workers[i].fake),
			    w->weights);
	}
	for (i = 0; i < w->spec.entries; i++)
		w->memory_kb = MAX(
		    w->memory_kb, soak_process_memory(w->entries[i].process));
}

static void
on_finish(uv_timer_t *t)
{
	struct soak_world *w = t->data;

	w->over = true;
	uv_stop(&w->loop);
}

static void
begin(struct soak_world *w)
{
	uint64_t length = (uint64_t)(w->spec.seconds * 1e6);
	struct soak_bounds bounds = {.contact = CONTACT_USEC,
	    .drain = DRAIN_USEC,
	    .answer = LATE_USEC,
	    .stop = LATE_USEC,
	    .thaw = THAW_USEC,
	    .entries = w->spec.entries,
	    .workers = w->n_workers};
	unsigned int store = fake_port(), i;

	uv_loop_init(&w->loop);
	w->rand = g_rand_new_with_seed((guint32)w->spec.seed);
	w->ledger = soak_ledger_create(&bounds);
	w->laters = g_ptr_array_new_with_free_func(soak_drop_later);
	w->callers = g_ptr_array_new();
	w->entries = g_new0(struct soak_entry, w->spec.entries);
	w->workers = g_new0(struct soak_worker, w->n_workers);
	w->objects = fake_objects_create(&w->loop, store);
	w->begun = jh_now();
	soak_write_config(w, 1);
	soak_name_weights(w, 1);
	for (i = 0; i < w->n_workers; i++)
		create_worker(w, i);
	for (i = 0; i < w->spec.entries; i++)
		create_entry(w, i, store);
	w->plan = soak_plan_draw(w->rand, w->spec.entries, WARM_USEC,
	    length - MIN(length, CALM_USEC));
	for (i = 0; i < w->plan->len; i++) {
		struct soak_fault *f =
		    &g_array_index(w->plan, struct soak_fault, i);
		soak_after(w, f->at, soak_inject, f);
	}
	for (i = 0; i < w->spec.callers; i++)
		g_ptr_array_add(
		    w->callers, soak_caller_create(&w->loop, w->ledger, w->rand,
				    &caller_ops, w));
	uv_timer_init(&w->loop, &w->finish);
	w->finish.data = w;
	uv_timer_start(&w->finish, on_finish, length / JH_USEC_PER_MSEC, 0);
}

static void
end(struct soak_world *w)
{
	unsigned int i;

	for (i = 0; i < w->callers->len; i++)
		soak_caller_destroy(g_ptr_array_index(w->callers, i));
	for (i = 0; i < w->spec.entries; i++) {
		soak_process_destroy(w->entries[i].process);
		soak_link_destroy(w->entries[i].callers);
		soak_link_destroy(w->entries[i].store);
	}
	for (i = 0; i < w->n_workers; i++) {
		soak_link_destroy(w->workers[i].link);
		fake_worker_destroy(w->workers[i].fake);
	}
	fake_objects_destroy(w->objects);
	g_ptr_array_free(w->laters, TRUE);
	uv_close((uv_handle_t *)&w->finish, NULL);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	uv_loop_close(&w->loop);
	g_ptr_array_free(w->callers, TRUE);
	g_array_free(w->plan, TRUE);
	g_rand_free(w->rand);
	soak_ledger_destroy(w->ledger);
	g_free(w->entries);
	g_free(w->workers);
}

struct soak_result
soak_run(const struct soak_spec *spec)
{
	struct soak_world w = {.spec = *spec};
	struct soak_result result = {0};
	const GPtrArray *faults;
	guint i;

	w.n_workers = spec->engines + spec->services;
	begin(&w);
	uv_run(&w.loop, UV_RUN_DEFAULT);
	result.share_at_end = soak_ledger_share(w.ledger, jh_now() - LAST_USEC);
	check_end(&w, result.share_at_end);
	soak_ledger_finish(w.ledger, jh_now());
	result.totals = soak_ledger_totals(w.ledger);
	result.planned = w.plan->len;
	result.memory_kb = w.memory_kb;
	faults = soak_ledger_faults(w.ledger);
	result.faults = faults->len;
	for (i = 0; i < faults->len; i++)
		printf("seed %llu: %s (start %.3f)\n",
		    (unsigned long long)spec->seed,
		    (const char *)g_ptr_array_index(faults, i),
		    (double)w.begun / 1e6);
	end(&w);
	return result;
}
