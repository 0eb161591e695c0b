#include <signal.h>
#include <stdio.h>

#include <jacinthhill/clock.h>

#include "soak/deployment.h"
#include "soak/state.h"

/* Bound of the users' data sheets ("bounds" in their site files). */
#define DRAIN_USEC (2500 * JH_USEC_PER_MSEC)

/* Time from a worker's notice that it drains to its exit. */
#define DRAIN_TO_EXIT_USEC (DRAIN_USEC + 500 * JH_USEC_PER_MSEC)
#define RESTART_DELAY_USEC (200 * JH_USEC_PER_MSEC)
/* A process that still runs this long after its grace period failed to stop. */
#define GRACE_MARGIN_USEC (500 * JH_USEC_PER_MSEC)

/*
 * Age of a copy that the store comes back from, and the time in which the
 * operator and the workers then write again what it lost.
 */
#define MAX_COPY_AGE_USEC (10 * JH_USEC_PER_SEC)
#define MAX_REWRITE_USEC (500 * JH_USEC_PER_MSEC)

/* One configuration in so many is large. */
#define LARGE_INTERVAL 3

/*
 * A reload signal may reach a process that was started as recently before its
 * first instruction, and then ends it.
 */
#define EXEC_USEC (100 * JH_USEC_PER_MSEC)

/* A function that runs later, from a timer. */
struct delayed_action {
	struct soak_fixture *fixture;
	uv_timer_t timer;
	void (*fn)(struct soak_fixture *fx, struct soak_fault *f);
	struct soak_fault fault;
};

static uint64_t
since_start(const struct soak_fixture *fx)
{
	return jh_now() - fx->started;
}

static void
on_delayed_action(uv_timer_t *t)
{
	struct delayed_action *action = t->data;

	if (!action->fixture->ended)
		action->fn(action->fixture, &action->fault);
}

void
soak_schedule(struct soak_fixture *fx, uint64_t usec,
    void (*fn)(struct soak_fixture *fx, struct soak_fault *f),
    const struct soak_fault *f)
{
	struct delayed_action *action = g_new0(struct delayed_action, 1);

	action->fixture = fx;
	action->fn = fn;
	action->fault = *f;
	uv_timer_init(&fx->loop, &action->timer);
	action->timer.data = action;
	uv_timer_start(
	    &action->timer, on_delayed_action, usec / JH_USEC_PER_MSEC, 0);
	g_ptr_array_add(fx->actions, action);
}

static void
on_action_closed(uv_handle_t *h)
{
	g_free(h->data);
}

void
soak_cancel_action(void *p)
{
	uv_close((uv_handle_t *)&((struct delayed_action *)p)->timer,
	    on_action_closed);
}

static struct soak_router *
router_of(struct soak_fixture *fx, const struct soak_fault *f)
{
	return &fx->routers[f->target % fx->spec.routers];
}

static struct soak_worker *
worker_of(struct soak_fixture *fx, const struct soak_fault *f)
{
	return &fx->workers[f->target % fx->n_workers];
}

void
soak_start_router(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_router *router = router_of(fx, f);
	int error;

	if (soak_process_runs(router->process))
		return;
	router->exit_expected = false;
	router->frozen = false;
	router->kill_at = 0;
	router->started = jh_now();
	soak_checker_disturb_router(
	    fx->checker, router->number, jh_now(), false);
	soak_checker_interrupt_router(fx->checker, router->number, jh_now());
	error = soak_process_start(router->process);
	if (error != 0)
		soak_checker_add_violation(fx->checker, jh_now(), "FAULT",
		    "entry %u did not start: %s", router->number,
		    uv_strerror(error));
}

static void
on_router_ended(void *arg, int status, int sig)
{
	struct soak_router *router = arg;
	struct soak_fault f = {.target = router->number};
	bool at_exec = sig == SIGHUP && jh_now() < router->started + EXEC_USEC;

	if (!at_exec && (!router->exit_expected || (sig == 0 && status != 0)))
		soak_checker_add_violation(router->fixture->checker, jh_now(),
		    "FAULT", "entry %u ended with status %d, signal %d",
		    router->number, status, sig);
	soak_schedule(
	    router->fixture, RESTART_DELAY_USEC, soak_start_router, &f);
}

const struct soak_process_ops soak_router_ops = {on_router_ended};

static void
kill_router(struct soak_router *router, uint64_t until)
{
	soak_checker_disturb_router(
	    router->fixture->checker, router->number, until, false);
	router->exit_expected = true;
	soak_process_signal(router->process, SIGKILL);
}

/* Kills a router that still runs after its grace period. */
static void
check_grace(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_router *router = router_of(fx, f);

	if (router->kill_at == 0 || jh_now() < router->kill_at ||
	    router->frozen)
		return;
	soak_checker_add_violation(fx->checker, jh_now(), "FAULT",
	    "entry %u did not stop within its grace period", router->number);
	kill_router(router, jh_now());
}

static void
stop_router(struct soak_router *router)
{
	struct soak_fault f = {.target = router->number};
	uint64_t grace = SOAK_GRACE_SEC * JH_USEC_PER_SEC;

	if (router->exit_expected || router->frozen ||
	    !soak_process_runs(router->process))
		return;
	router->exit_expected = true;
	router->kill_at = jh_now() + grace;
	soak_checker_disturb_router(
	    router->fixture->checker, router->number, router->kill_at, true);
	soak_process_signal(router->process, SIGTERM);
	soak_schedule(
	    router->fixture, grace + GRACE_MARGIN_USEC, check_grace, &f);
}

static void
resume(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_router *router = router_of(fx, f);

	soak_process_signal(router->process, SIGCONT);
	router->frozen = false;
	soak_checker_disturb_router(
	    fx->checker, router->number, jh_now(), f->kind == FAULT_PAUSES);
	soak_checker_interrupt_router(fx->checker, router->number, jh_now());
}

static void
suspend(struct soak_router *router, const struct soak_fault *f)
{
	if (router->frozen || !soak_process_runs(router->process))
		return;
	router->frozen = true;
	soak_checker_disturb_router(router->fixture->checker, router->number,
	    router->fixture->started + f->until, f->kind == FAULT_PAUSES);
	soak_checker_interrupt_router(router->fixture->checker, router->number,
	    router->fixture->started + f->until);
	soak_process_signal(router->process, SIGSTOP);
	soak_schedule(router->fixture, f->until - f->at, resume, f);
}

/* One pause of a series; the router runs for as long before the next. */
static void
pause_router(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_fault pause = *f;

	pause.at = since_start(fx);
	pause.until = pause.at + f->delay;
	if (pause.at >= f->until)
		return;
	suspend(router_of(fx, f), &pause);
	soak_schedule(fx, 2 * f->delay, pause_router, f);
}

static void
end_store_fault(struct soak_fixture *fx, struct soak_fault *f)
{
	/* The end of an earlier fault does not end a later one. */
	if (f->variant == fx->store_fault)
		fake_objects_set_mode(fx->objects, OBJECTS_SERVE, 0);
	soak_checker_disturb_store(fx->checker, jh_now());
}

static void
disturb_store(struct soak_fixture *fx, const struct soak_fault *f,
    enum fake_objects_mode mode)
{
	struct soak_fault end = *f;

	fake_objects_set_mode(fx->objects, mode, 503);
	soak_checker_disturb_store(fx->checker, fx->started + f->until);
	end.variant = ++fx->store_fault;
	soak_schedule(fx, f->until - f->at, end_store_fault, &end);
}

/* The copy is up to 10 s old. */
static void
restore_store(struct soak_fixture *fx, const struct soak_fault *f)
{
	uint64_t age = f->variant % MAX_COPY_AGE_USEC, now = jh_now();
	struct fake_restore restore = {
	    .copied_at = now - MIN(age, now),
	    .back_at = fx->started + f->until,
	    .rewritten_by = fx->started + f->until + MAX_REWRITE_USEC,
	    .late_writes = f->target % 2 == 0,
	    .seed = f->variant,
	};

	soak_checker_disturb_store(fx->checker, restore.rewritten_by);
	fake_objects_restore(fx->objects, &restore);
}

static enum soak_proxy_mode
proxy_mode(const struct soak_fault *f)
{
	return (enum soak_proxy_mode)(
	    PROXY_DELAY + f->variant % PROXY_HOLD_BOTH);
}

static void
restore_store_link(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_router *router = router_of(fx, f);

	soak_proxy_set_mode(router->store_proxy, PROXY_PASS, 0);
	soak_checker_disturb_router(
	    fx->checker, router->number, jh_now(), false);
}

static void
restore_client_link(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_router *router = router_of(fx, f);

	soak_proxy_set_mode(router->client_proxy, PROXY_PASS, 0);
	soak_checker_disturb_router(
	    fx->checker, router->number, jh_now(), false);
}

static void
disturb_router_link(struct soak_fixture *fx, struct soak_router *router,
    struct soak_proxy *proxy,
    void (*restore)(struct soak_fixture *fx, struct soak_fault *f),
    const struct soak_fault *f)
{
	soak_checker_disturb_router(
	    fx->checker, router->number, fx->started + f->until, false);
	soak_proxy_set_mode(proxy, proxy_mode(f), f->delay);
	soak_schedule(fx, f->until - f->at, restore, f);
}

static void
restore_worker_link(struct soak_fixture *fx, struct soak_fault *f)
{
	soak_proxy_set_mode(worker_of(fx, f)->proxy, PROXY_PASS, 0);
	soak_checker_disturb_worker(
	    fx->checker, f->target % fx->n_workers, jh_now());
}

static void
end_worker_mode(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_worker *worker = worker_of(fx, f);

	worker->mode = WORKER_RESPONDS;
	fake_worker_set_mode(worker->fake, worker->mode);
}

void
soak_start_worker(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_worker *worker = worker_of(fx, f);

	soak_checker_draining(fx->checker, f->target % fx->n_workers, 0);
	fake_worker_start(worker->fake);
	soak_checker_worker_started(
	    fx->checker, jh_now(), f->target % fx->n_workers);
	worker->unavailable = false;
}

static void
exit_worker(struct soak_fixture *fx, struct soak_fault *f)
{
	soak_checker_disturb_worker(
	    fx->checker, f->target % fx->n_workers, jh_now());
	if (fake_worker_is_up(worker_of(fx, f)->fake))
		fake_worker_crash(worker_of(fx, f)->fake);
	soak_schedule(fx, RESTART_DELAY_USEC, soak_start_worker, f);
}

static void
disturb_worker(struct soak_fixture *fx, const struct soak_fault *f)
{
	struct soak_worker *worker = worker_of(fx, f);
	unsigned int number = f->target % fx->n_workers;

	if (f->kind == FAULT_WORKER_MODE) {
		worker->mode = WORKER_DECLINES + f->variant % WORKER_SILENT;
		fake_worker_set_mode(worker->fake, worker->mode);
		soak_schedule(fx, f->until - f->at, end_worker_mode, f);
	} else if (f->kind == FAULT_WORKER_LINK) {
		soak_checker_disturb_worker(
		    fx->checker, number, fx->started + f->until);
		soak_proxy_set_mode(worker->proxy, proxy_mode(f), f->delay);
		soak_schedule(fx, f->until - f->at, restore_worker_link, f);
	} else if (worker->unavailable) {
		return;
	} else if (f->kind == FAULT_WORKER_CRASH) {
		worker->unavailable = true;
		soak_checker_disturb_worker(
		    fx->checker, number, fx->started + f->until);
		fake_worker_crash(worker->fake);
		soak_schedule(fx, f->until - f->at, soak_start_worker, f);
	} else {
		worker->unavailable = true;
		fake_worker_drain(worker->fake);
		soak_checker_draining(fx->checker, number, jh_now());
		soak_schedule(fx, DRAIN_TO_EXIT_USEC, exit_worker, f);
	}
}

static void
set_rate_limit(
    struct soak_fixture *fx, const struct soak_fault *f, double limit)
{
	soak_checker_rate_limit(
	    fx->checker, jh_now(), f->target % fx->n_workers, limit);
	fake_worker_set_rate_limit(worker_of(fx, f)->fake, limit);
}

static void
end_rate_limit(struct soak_fixture *fx, struct soak_fault *f)
{
	/* The end of an earlier limit does not end a later one. */
	if (f->variant == worker_of(fx, f)->limits)
		set_rate_limit(fx, f, -1);
}

static void
name_rate_limit(struct soak_fixture *fx, const struct soak_fault *f)
{
	struct soak_fault end = *f;

	set_rate_limit(fx, f, soak_fault_rate_limit(f));
	end.variant = ++worker_of(fx, f)->limits;
	soak_schedule(fx, f->until - f->at, end_rate_limit, &end);
}

/* The list says nothing of it until the exit. */
static void
announce_leaving(struct soak_fixture *fx, const struct soak_fault *f)
{
	struct soak_worker *worker = worker_of(fx, f);

	if (worker->unavailable)
		return;
	worker->unavailable = true;
	fake_worker_announce_leaving(worker->fake);
	soak_schedule(fx, f->until - f->at, exit_worker, f);
}

/* At least one model worker goes on. */
static void
crash_several(struct soak_fixture *fx, const struct soak_fault *f)
{
	unsigned int engines = fx->spec.engines, i;
	unsigned int n = 2 + f->variant % engines;
	struct soak_fault crash = *f;

	crash.kind = FAULT_WORKER_CRASH;
	for (i = 0; i < MIN(n, engines - 1); i++) {
		crash.target = (f->target + i) % engines;
		disturb_worker(fx, &crash);
	}
}

void
soak_publish_config(struct soak_fixture *fx, unsigned int version)
{
	struct soak_quota quotas[SOAK_QUOTAS];
	json_t *config;

	soak_quotas_get(fx->lowered_quotas, quotas);
	config =
	    soak_config_create(version, fx->large_config ? SOAK_MORE_ROUTES : 0,
		quotas, fx->spec.quotas ? SOAK_QUOTAS : 0);

	if (version % 2 != fx->config_version % 2) {
		fx->parity_since = jh_now();
		soak_checker_config_changed(fx->checker, jh_now());
	}
	fx->config_version = version;
	fake_objects_put(fx->objects, "config", "main", config);
	json_decref(config);
}

void
soak_publish_quotas(struct soak_fixture *fx)
{
	struct soak_quota quotas[SOAK_QUOTAS];
	unsigned int i;

	soak_quotas_get(fx->lowered_quotas, quotas);
	for (i = 0; i < SOAK_QUOTAS; i++)
		soak_checker_quota(fx->checker, jh_now(), &quotas[i]);
}

/* The next version but one has the same routes and keys. */
void
soak_lower_quotas(struct soak_fixture *fx, struct soak_fault *f)
{
	fx->lowered_quotas = true;
	soak_publish_config(fx, fx->config_version + 2);
	soak_publish_quotas(fx);
}

void
soak_publish_weights(struct soak_fixture *fx, unsigned int version)
{
	json_t *spec =
	    json_pack("{s:s, s:i}", "model", "m1", "version", (int)version);

	fx->weights_version = version;
	fake_objects_put(fx->objects, "versions", "m1", spec);
	json_decref(spec);
}

static void
kill_all(struct soak_fixture *fx, const struct soak_fault *f)
{
	unsigned int i;

	for (i = 0; i < fx->spec.routers; i++) {
		if (soak_process_runs(fx->routers[i].process))
			kill_router(&fx->routers[i], fx->started + f->until);
	}
}

void
soak_inject_fault(struct soak_fixture *fx, struct soak_fault *f)
{
	struct soak_router *router = router_of(fx, f);

	if (fx->spec.verbose)
		printf("%.3f %s target %u variant %u for %.3f s\n",
		    (double)since_start(fx) / 1e6, soak_fault_name(f->kind),
		    f->target, f->variant, (double)(f->until - f->at) / 1e6);
	switch (f->kind) {
	case FAULT_FREEZE:
		suspend(router, f);
		break;
	case FAULT_KILL:
		if (soak_process_runs(router->process))
			kill_router(router, fx->started + f->until);
		break;
	case FAULT_KILL_ALL:
		kill_all(fx, f);
		break;
	case FAULT_STOP:
		stop_router(router);
		break;
	case FAULT_RELOAD:
		soak_checker_disturb_router(
		    fx->checker, router->number, jh_now(), true);
		soak_process_signal(router->process, SIGHUP);
		break;
	case FAULT_PAUSES:
		pause_router(fx, f);
		break;
	case FAULT_POWER:
		crash_several(fx, f);
		break;
	case FAULT_STORE_REFUSES:
		disturb_store(fx, f, OBJECTS_REFUSE);
		break;
	case FAULT_STORE_SILENT:
		disturb_store(fx, f, OBJECTS_SILENT);
		break;
	case FAULT_STORE_LOSES_RESPONSES:
		disturb_store(fx, f, OBJECTS_LOSE_RESPONSES);
		break;
	case FAULT_STORE_DROPS_HISTORY:
		soak_checker_disturb_store(fx->checker, jh_now());
		fake_objects_drop_history(fx->objects);
		break;
	case FAULT_STORE_RESTORED:
		restore_store(fx, f);
		break;
	case FAULT_STORE_LINK:
		disturb_router_link(
		    fx, router, router->store_proxy, restore_store_link, f);
		break;
	case FAULT_RATE_LIMIT:
		name_rate_limit(fx, f);
		break;
	case FAULT_ANNOUNCED_LEAVING:
		announce_leaving(fx, f);
		break;
	case FAULT_REFUSALS:
		fake_worker_refuse(
		    worker_of(fx, f)->fake, fx->started + f->until);
		break;
	case FAULT_POISON_PART:
		soak_poison_start(fx, f);
		break;
	case FAULT_CLIENT_LINK:
		disturb_router_link(
		    fx, router, router->client_proxy, restore_client_link, f);
		break;
	case FAULT_CONFIG:
		fx->large_config = f->variant / 2 % LARGE_INTERVAL == 0;
		soak_publish_config(
		    fx, fx->config_version + 1 + f->variant % 2);
		break;
	case FAULT_WEIGHTS:
		soak_publish_weights(fx, fx->weights_version + 1);
		break;
	default:
		disturb_worker(fx, f);
		break;
	}
}
