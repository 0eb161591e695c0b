#include <signal.h>
#include <stdio.h>

#include <jacinthhill/clock.h>

#include "soak/deployment.h"
#include "soak/state.h"

/* Bounds of the users' sheets (bounds in their site files). */
#define DRAIN_USEC (2500 * JH_USEC_PER_MSEC)

/* A worker exits this long after it has reported that it leaves. */
#define LEAVE_USEC (DRAIN_USEC + 500 * JH_USEC_PER_MSEC)
#define RESTART_USEC (200 * JH_USEC_PER_MSEC)
/* A process that has this long past its grace period did not stop. */
#define PAST_GRACE_USEC (500 * JH_USEC_PER_MSEC)

/* Something that happens later. */
struct later {
	struct soak_world *world;
	uv_timer_t timer;
	void (*fn)(struct soak_world *w, struct soak_fault *f);
	struct soak_fault fault;
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

void
soak_after(struct soak_world *w, uint64_t usec,
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

static void
on_later_closed(uv_handle_t *h)
{
	g_free(h->data);
}

void
soak_drop_later(void *p)
{
	uv_close((uv_handle_t *)&((struct later *)p)->timer, on_later_closed);
}

static struct soak_entry *
entry_of(struct soak_world *w, const struct soak_fault *f)
{
	return &w->entries[f->target % w->spec.entries];
}

static struct soak_worker *
worker_of(struct soak_world *w, const struct soak_fault *f)
{
	return &w->workers[f->target % w->n_workers];
}

void
soak_start_entry(struct soak_world *w, struct soak_fault *f)
{
	struct soak_entry *e = entry_of(w, f);
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
	struct soak_entry *e = arg;
	struct soak_fault f = {.target = e->number};

	if (!e->ends || (sig == 0 && status != 0))
		soak_ledger_fault(e->world->ledger, jh_now(), "FAULT",
		    "entry %u ended with status %d, signal %d", e->number,
		    status, sig);
	soak_after(e->world, RESTART_USEC, soak_start_entry, &f);
}

const struct soak_process_ops soak_entry_ops = {on_entry_ended};

static void
kill_entry(struct soak_entry *e, uint64_t until)
{
	soak_ledger_disturb_entry(e->world->ledger, e->number, until, false);
	e->ends = true;
	soak_process_signal(e->process, SIGKILL);
}

/* What is still there when the grace period is over is killed. */
static void
end_grace(struct soak_world *w, struct soak_fault *f)
{
	struct soak_entry *e = entry_of(w, f);

	if (e->killed_at == 0 || jh_now() < e->killed_at || e->frozen)
		return;
	soak_ledger_fault(w->ledger, jh_now(), "FAULT",
	    "entry %u does not stop in its grace period", e->number);
	kill_entry(e, jh_now());
}

static void
stop_entry(struct soak_entry *e)
{
	struct soak_fault f = {.target = e->number};
	uint64_t grace = SOAK_GRACE_SEC * JH_USEC_PER_SEC;

	if (e->ends || e->frozen || !soak_process_runs(e->process))
		return;
	e->ends = true;
	e->killed_at = jh_now() + grace;
	soak_ledger_disturb_entry(
	    e->world->ledger, e->number, e->killed_at, true);
	soak_process_signal(e->process, SIGTERM);
	soak_after(e->world, grace + PAST_GRACE_USEC, end_grace, &f);
}

static void
thaw(struct soak_world *w, struct soak_fault *f)
{
	struct soak_entry *e = entry_of(w, f);

	soak_process_signal(e->process, SIGCONT);
	e->frozen = false;
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
}

static void
freeze(struct soak_entry *e, const struct soak_fault *f)
{
	if (e->frozen || !soak_process_runs(e->process))
		return;
	e->frozen = true;
	soak_ledger_disturb_entry(
	    e->world->ledger, e->number, e->world->begun + f->until, false);
	soak_process_signal(e->process, SIGSTOP);
	soak_after(e->world, f->until - f->at, thaw, f);
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
	soak_after(w, f->until - f->at, end_store_fault, &end);
}

static enum soak_link_mode
link_mode(const struct soak_fault *f)
{
	return (enum soak_link_mode)(LINK_DELAY + f->variant % LINK_SILENT);
}

static void
heal_store_link(struct soak_world *w, struct soak_fault *f)
{
	struct soak_entry *e = entry_of(w, f);

	soak_link_set(e->store, LINK_PASS, 0);
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
}

static void
heal_caller_link(struct soak_world *w, struct soak_fault *f)
{
	struct soak_entry *e = entry_of(w, f);

	soak_link_set(e->callers, LINK_PASS, 0);
	soak_ledger_disturb_entry(w->ledger, e->number, jh_now(), false);
}

static void
harm_entry_link(struct soak_world *w, struct soak_entry *e,
    struct soak_link *link,
    void (*heal)(struct soak_world *w, struct soak_fault *f),
    const struct soak_fault *f)
{
	soak_ledger_disturb_entry(
	    w->ledger, e->number, w->begun + f->until, false);
	soak_link_set(link, link_mode(f), f->delay);
	soak_after(w, f->until - f->at, heal, f);
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
	struct soak_worker *k = worker_of(w, f);

	k->mode = WORKER_ANSWERS;
	fake_worker_set_mode(k->fake, k->mode);
}

static void
start_worker(struct soak_world *w, struct soak_fault *f)
{
	struct soak_worker *k = worker_of(w, f);

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
	soak_after(w, RESTART_USEC, start_worker, f);
}

static void
disturb_worker(struct soak_world *w, const struct soak_fault *f)
{
	struct soak_worker *k = worker_of(w, f);
	unsigned int number = f->target % w->n_workers;

	if (f->kind == FAULT_WORKER_MODE) {
		k->mode = WORKER_DECLINES + f->variant % WORKER_SILENT;
		fake_worker_set_mode(k->fake, k->mode);
		soak_after(w, f->until - f->at, end_worker_mode, f);
	} else if (f->kind == FAULT_WORKER_LINK) {
		soak_ledger_disturb_worker(
		    w->ledger, number, w->begun + f->until);
		soak_link_set(k->link, link_mode(f), f->delay);
		soak_after(w, f->until - f->at, heal_worker_link, f);
	} else if (k->away) {
		return;
	} else if (f->kind == FAULT_WORKER_CRASH) {
		k->away = true;
		soak_ledger_disturb_worker(
		    w->ledger, number, w->begun + f->until);
		fake_worker_crash(k->fake);
		soak_after(w, f->until - f->at, start_worker, f);
	} else {
		k->away = true;
		fake_worker_drain(k->fake);
		soak_ledger_draining(w->ledger, number, jh_now());
		soak_after(w, LEAVE_USEC, exit_worker, f);
	}
}

void
soak_write_config(struct soak_world *w, unsigned int version)
{
	json_t *config = soak_config(version);

	if (version % 2 != w->config % 2) {
		w->parity_since = jh_now();
		soak_ledger_configured(w->ledger, jh_now());
	}
	w->config = version;
	fake_objects_put(w->objects, "config", "main", config);
	json_decref(config);
}

void
soak_name_weights(struct soak_world *w, unsigned int version)
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

void
soak_inject(struct soak_world *w, struct soak_fault *f)
{
	struct soak_entry *e = entry_of(w, f);

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
		soak_write_config(w, w->config + 1 + f->variant % 2);
		break;
	case FAULT_WEIGHTS:
		soak_name_weights(w, w->weights + 1);
		break;
	default:
		disturb_worker(w, f);
		break;
	}
}
