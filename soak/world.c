#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/objects.h"
#include "fakes/platform/worker.h"
#include "fakes/port.h"
#include "soak/caller.h"
#include "soak/deployment.h"
#include "soak/link.h"
#include "soak/process.h"
#include "soak/world.h"

/* Bounds of the users' sheets (bounds in their site files). */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define APPLY_USEC (2500 * JH_USEC_PER_MSEC)
#define DRAIN_USEC (2500 * JH_USEC_PER_MSEC)
#define LATE_USEC (500 * JH_USEC_PER_MSEC)
#define THAW_USEC (300 * JH_USEC_PER_MSEC)
#define GRACE_SEC 8

/* Faults begin and end this long after the start and before the end. */
#define WARM_USEC (3 * JH_USEC_PER_SEC)
#define CALM_USEC (11 * JH_USEC_PER_SEC)
/* What is sent from so long before the end on must be served again. */
#define LAST_USEC (3 * JH_USEC_PER_SEC)
#define LEAST_SHARE 0.9

/* A worker exits this long after it has reported that it leaves. */
#define LEAVE_USEC (DRAIN_USEC + 500 * JH_USEC_PER_MSEC)
#define RESTART_USEC (200 * JH_USEC_PER_MSEC)
#define WORK_MSEC 15
#define EVENT_MSEC 25

/* One caller in so many leaves early; one request in so many is chunked. */
#define LEAVES 15
#define CHUNKED 4
#define MOST_LEAVE_USEC (200 * JH_USEC_PER_MSEC)

struct entry {
	struct soak_world *world;
	unsigned int number;
	unsigned int port; /* of the callers' link */
	struct soak_link *callers, *store;
	struct soak_process *process;
	bool frozen;
	bool ends; /* its end is expected */
	uint64_t
	    killed_at; /* by the platform if it has not stopped; 0: never */
};

struct worker {
	struct fake_worker *fake;
	struct soak_link *link;
	enum fake_worker_mode mode;
	bool away; /* leaves or has crashed */
};

/* Something that happens later. */
struct later {
	struct soak_world *world;
	uv_timer_t timer;
	void (*fn)(struct soak_world *w, struct soak_fault *f);
	struct soak_fault fault;
};

struct soak_world {
	struct soak_spec spec;
	uv_loop_t loop;
	GRand *rand;
	struct soak_ledger *ledger;
	struct fake_objects *objects;
	struct entry *entries;
	struct worker *workers;
	unsigned int n_workers;
	GPtrArray *callers;
	GPtrArray *laters;
	GArray *plan;
	uv_timer_t finish;
	uint64_t begun;
	unsigned int config, weights;
	uint64_t parity_since; /* of the configuration's number */
	unsigned int store_fault; /* counts faults of the store */
	unsigned int sent;
	long memory_kb;
	bool over;
};

static uint64_t
since_start(const struct soak_world *w)
{
	return jh_now() - w->begun;
}

static void
on_later(uv_timer_t *t)
{
	struct later *l = t->data;

	if (!l->world->over)
		l->fn(l->world, &l->fault);
}

static void
after(struct soak_world *w, uint64_t usec,
    void (*fn)(struct soak_world *w, struct soak_fault *f),
    const struct soak_fault *f)
{
	struct later *l = g_new0(struct later, 1);

	l->world = w;
	l->fn = fn;
	l->fault = *f;
	uv_timer_init(&w->loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_later, usec / JH_USEC_PER_MSEC, 0);
	g_ptr_array_add(w->laters, l);
}

static struct entry *
entry_of(struct soak_world *w, const struct soak_fault *f)
{
	return &w->entries[f->target % w->spec.entries];
}

static struct worker *
worker_of(struct soak_world *w, const struct soak_fault *f)
{
	return &w->workers[f->target % w->n_workers];
}

static void
start_entry(struct soak_world *w, struct soak_fault *f)
{
	struct entry *e = entry_of(w, f);
	int error;

	if (soak_process_runs(e->process))
		return;
	e->ends = false;
	e->frozen = false;
	e->killed_at = 0;
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
	error = soak_process_start(e->process);
	if (error != 0)
		soak_ledger_fault(w->ledger, jh_now(), "FAULT",
		    "entry %u does not start: %s", e->number,
		    uv_strerror(error));
}

static void
on_entry_ended(void *arg, int status, int sig)
{
	struct entry *e = arg;
	struct soak_fault f = {.target = e->number};

	if (!e->ends || (sig == 0 && status != 0))
		soak_ledger_fault(e->world->ledger, jh_now(), "FAULT",
		    "entry %u ended with status %d, signal %d", e->number,
		    status, sig);
	after(e->world, RESTART_USEC, start_entry, &f);
}

static const struct soak_process_ops process_ops = {on_entry_ended};

static void
kill_entry(struct entry *e, uint64_t until)
{
	soak_ledger_disturb_entry(e->world->ledger, e->number, until, false);
	e->ends = true;
	soak_process_signal(e->process, SIGKILL);
}

/* What is still there when the grace period is over is killed. */
static void
end_grace(struct soak_world *w, struct soak_fault *f)
{
	struct entry *e = entry_of(w, f);

	if (e->killed_at == 0 || jh_now() < e->killed_at || e->frozen)
		return;
	soak_ledger_fault(w->ledger, jh_now(), "FAULT",
	    "entry %u does not stop in its grace period", e->number);
	kill_entry(e, jh_now());
}

static void
stop_entry(struct entry *e)
{
	struct soak_fault f = {.target = e->number};
	uint64_t grace = GRACE_SEC * JH_USEC_PER_SEC;

	if (e->ends || e->frozen || !soak_process_runs(e->process))
		return;
	e->ends = true;
	e->killed_at = jh_now() + grace;
	soak_ledger_disturb_entry(
	    e->world->ledger, e->number, e->killed_at, true);
	soak_process_signal(e->process, SIGTERM);
	after(e->world, grace + LATE_USEC, end_grace, &f);
}

static void
thaw(struct soak_world *w, struct soak_fault *f)
{
	struct entry *e = entry_of(w, f);

	soak_process_signal(e->process, SIGCONT);
	e->frozen = false;
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
}

static void
freeze(struct entry *e, const struct soak_fault *f)
{
	if (e->frozen || !soak_process_runs(e->process))
		return;
	e->frozen = true;
	soak_ledger_disturb_entry(
	    e->world->ledger, e->number, e->world->begun + f->until, false);
	soak_process_signal(e->process, SIGSTOP);
	after(e->world, f->until - f->at, thaw, f);
}

static void
end_store_fault(struct soak_world *w, struct soak_fault *f)
{
	/* A later fault of the store is not ended by an earlier one. */
	if (f->variant == w->store_fault)
		fake_objects_set_mode(w->objects, OBJECTS_SERVE, 0);
	soak_ledger_disturb_store(w->ledger, jh_now());
}

static void
disturb_store(struct soak_world *w, const struct soak_fault *f,
    enum fake_objects_mode mode)
{
	struct soak_fault end = *f;

	fake_objects_set_mode(w->objects, mode, 503);
	soak_ledger_disturb_store(w->ledger, w->begun + f->until);
	end.variant = ++w->store_fault;
	after(w, f->until - f->at, end_store_fault, &end);
}

static enum soak_link_mode
link_mode(const struct soak_fault *f)
{
	return (enum soak_link_mode)(LINK_DELAY + f->variant % LINK_SILENT);
}

static void
heal_store_link(struct soak_world *w, struct soak_fault *f)
{
	struct entry *e = entry_of(w, f);

	soak_link_set(e->store, LINK_PASS, 0);
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
}

static void
heal_caller_link(struct soak_world *w, struct soak_fault *f)
{
	struct entry *e = entry_of(w, f);

	soak_link_set(e->callers, LINK_PASS, 0);
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
}

static void
harm_entry_link(struct soak_world *w, struct entry *e, struct soak_link *link,
    void (*heal)(struct soak_world *w, struct soak_fault *f),
    const struct soak_fault *f)
{
	soak_ledger_disturb_entry(
	    w->ledger, e->number, w->begun + f->until, false);
	soak_link_set(link, link_mode(f), f->delay);
	after(w, f->until - f->at, heal, f);
}

static void
heal_worker_link(struct soak_world *w, struct soak_fault *f)
{
	soak_link_set(worker_of(w, f)->link, LINK_PASS, 0);
	soak_ledger_disturb_worker(
	    w->ledger, f->target % w->n_workers, jh_now());
}

static void
end_worker_mode(struct soak_world *w, struct soak_fault *f)
{
	struct worker *k = worker_of(w, f);

	k->mode = WORKER_ANSWERS;
	fake_worker_set_mode(k->fake, k->mode);
}

static void
start_worker(struct soak_world *w, struct soak_fault *f)
{
	struct worker *k = worker_of(w, f);

	soak_ledger_draining(w->ledger, f->target % w->n_workers, 0);
	fake_worker_start(k->fake);
	k->away = false;
}

static void
exit_worker(struct soak_world *w, struct soak_fault *f)
{
	soak_ledger_disturb_worker(
	    w->ledger, f->target % w->n_workers, jh_now());
	fake_worker_crash(worker_of(w, f)->fake);
	after(w, RESTART_USEC, start_worker, f);
}

static void
disturb_worker(struct soak_world *w, const struct soak_fault *f)
{
	struct worker *k = worker_of(w, f);
	unsigned int number = f->target % w->n_workers;

	if (f->kind == FAULT_WORKER_MODE) {
		k->mode = WORKER_DECLINES + f->variant % WORKER_SILENT;
		fake_worker_set_mode(k->fake, k->mode);
		after(w, f->until - f->at, end_worker_mode, f);
	} else if (f->kind == FAULT_WORKER_LINK) {
		soak_ledger_disturb_worker(
		    w->ledger, number, w->begun + f->until);
		soak_link_set(k->link, link_mode(f), f->delay);
		after(w, f->until - f->at, heal_worker_link, f);
	} else if (k->away) {
		return;
	} else if (f->kind == FAULT_WORKER_CRASH) {
		k->away = true;
		soak_ledger_disturb_worker(
		    w->ledger, number, w->begun + f->until);
		fake_worker_crash(k->fake);
		after(w, f->until - f->at, start_worker, f);
	} else {
		k->away = true;
		fake_worker_drain(k->fake);
		soak_ledger_draining(w->ledger, number, jh_now());
		after(w, LEAVE_USEC, exit_worker, f);
	}
}

static void
write_config(struct soak_world *w, unsigned int version)
{
	json_t *config = soak_config(version);

	if (version % 2 != w->config % 2)
		w->parity_since = jh_now();
	w->config = version;
	fake_objects_put(w->objects, "config", "main", config);
	json_decref(config);
}

static void
name_weights(struct soak_world *w, unsigned int version)
{
	json_t *spec =
	    json_pack("{s:s, s:i}", "model", "m1", "version", (int)version);

	w->weights = version;
	fake_objects_put(w->objects, "versions", "m1", spec);
	json_decref(spec);
}

static void
kill_all(struct soak_world *w, const struct soak_fault *f)
{
	unsigned int i;

	for (i = 0; i < w->spec.entries; i++) {
		if (soak_process_runs(w->entries[i].process))
			kill_entry(&w->entries[i], w->begun + f->until);
	}
}

static void
inject(struct soak_world *w, struct soak_fault *f)
{
	struct entry *e = entry_of(w, f);

	if (w->spec.verbose)
		printf("%.3f %s target %u variant %u for %.3f s\n",
		    (double)since_start(w) / 1e6, soak_fault_name(f->kind),
		    f->target, f->variant, (double)(f->until - f->at) / 1e6);
	switch (f->kind) {
	case FAULT_FREEZE:
		freeze(e, f);
		break;
	case FAULT_KILL:
		if (soak_process_runs(e->process))
			kill_entry(e, w->begun + f->until);
		break;
	case FAULT_KILL_ALL:
		kill_all(w, f);
		break;
	case FAULT_STOP:
		stop_entry(e);
		break;
	case FAULT_RELOAD:
		soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), true);
		soak_process_signal(e->process, SIGHUP);
		break;
	case FAULT_STORE_REFUSES:
		disturb_store(w, f, OBJECTS_REFUSE);
		break;
	case FAULT_STORE_SILENT:
		disturb_store(w, f, OBJECTS_SILENT);
		break;
	case FAULT_STORE_LOSES_ANSWERS:
		disturb_store(w, f, OBJECTS_LOSE_ANSWERS);
		break;
	case FAULT_STORE_FORGETS:
		soak_ledger_disturb_store(w->ledger, jh_now());
		fake_objects_forget(w->objects);
		break;
	case FAULT_STORE_LINK:
		harm_entry_link(w, e, e->store, heal_store_link, f);
		break;
	case FAULT_CALLER_LINK:
		harm_entry_link(w, e, e->callers, heal_caller_link, f);
		break;
	case FAULT_CONFIG:
		write_config(w, w->config + 1 + f->variant % 2);
		break;
	case FAULT_WEIGHTS:
		name_weights(w, w->weights + 1);
		break;
	default:
		disturb_worker(w, f);
		break;
	}
}

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
	struct worker *k = &w->workers[number];
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
    const struct entry *e)
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

static struct entry *
choose_entry(struct soak_world *w)
{
	unsigned int i, at;

	at =
	    (unsigned int)g_rand_int_range(w->rand, 0, (gint32)w->spec.entries);
	for (i = 0; i < w->spec.entries; i++) {
		struct entry *e = &w->entries[(at + i) % w->spec.entries];
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
	struct entry *e = choose_entry(w);
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
	struct entry *e = &w->entries[number];
	unsigned int clients = fake_port(), link = fake_port();
	struct soak_fault f = {.target = number};
	char *file = g_strdup_printf("%s/e%u.yaml", w->spec.dir, number);
	char *log = g_strdup_printf("%s/e%u.log", w->spec.dir, number);
	char *text = g_strdup_printf(
	    "name: \"e%u\"\nzone: \"z0\"\nzones:\n  - name: \"z0\"\n"
	    "    region: \"r0\"\ngossip: \"127.0.0.1:%u\"\n"
	    "clients: \"127.0.0.1:%u\"\nreadiness: \"127.0.0.1:%u\"\n"
	    "metrics: \"127.0.0.1:%u\"\nstore: \"127.0.0.1:%u\"\n"
	    "memory_mb: 110\ndescriptors: 1000\ngrace_s: \"%d\"\n"
	    "repeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
	    "repeat_window_s: \"10\"\nholders_apart_ms: 500\n",
	    number, fake_port(), clients, fake_port(), fake_port(), link,
	    GRACE_SEC);
	char *argv[] = {(char *)w->spec.program, file, NULL};

	e->world = w;
	e->number = number;
	e->port = fake_port();
	e->callers = soak_link_create(&w->loop, e->port, clients);
	e->store = soak_link_create(&w->loop, link, store);
	if (!g_file_set_contents(file, text, -1, NULL))
		g_error("cannot write %s", file);
	e->process = soak_process_create(&w->loop, argv, log, &process_ops, e);
	start_entry(w, &f);
	g_free(file);
	g_free(log);
	g_free(text);
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
	w->laters = g_ptr_array_new();
	w->callers = g_ptr_array_new();
	w->entries = g_new0(struct entry, w->spec.entries);
	w->workers = g_new0(struct worker, w->n_workers);
	w->objects = fake_objects_create(&w->loop, store);
	w->begun = jh_now();
	write_config(w, 1);
	name_weights(w, 1);
	for (i = 0; i < w->n_workers; i++)
		create_worker(w, i);
	for (i = 0; i < w->spec.entries; i++)
		create_entry(w, i, store);
	w->plan =
	    soak_plan_draw(w->rand, WARM_USEC, length - MIN(length, CALM_USEC));
	for (i = 0; i < w->plan->len; i++) {
		struct soak_fault *f =
		    &g_array_index(w->plan, struct soak_fault, i);
		after(w, f->at, inject, f);
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
close_later(void *p, void *unused)
{
	uv_close((uv_handle_t *)&((struct later *)p)->timer, NULL);
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
	g_ptr_array_foreach(w->laters, close_later, NULL);
	uv_close((uv_handle_t *)&w->finish, NULL);
	uv_run(&w->loop, UV_RUN_DEFAULT);
	uv_loop_close(&w->loop);
	g_ptr_array_foreach(w->laters, (GFunc)(void *)g_free, NULL);
	g_ptr_array_free(w->laters, TRUE);
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
