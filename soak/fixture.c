#include <stdio.h>
#include <string.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/settings.h"
#include "fakes/port.h"
#include "soak/client.h"
#include "soak/deployment.h"
#include "soak/state.h"

/* Bounds of the users' data sheets ("bounds" in their site files). */
#define CONNECTED_AFTER_USEC (4 * JH_USEC_PER_SEC)
#define APPLY_USEC (2500 * JH_USEC_PER_MSEC)
#define DRAIN_USEC (2500 * JH_USEC_PER_MSEC)
#define RESPONSE_MARGIN_USEC (500 * JH_USEC_PER_MSEC)
#define ORDER_GRACE_USEC (300 * JH_USEC_PER_MSEC)

/* Faults begin this long after the start and end this long before the end. */
#define WARMUP_USEC (3 * JH_USEC_PER_SEC)
#define RECOVERY_USEC (11 * JH_USEC_PER_SEC)
/* Overlapping faults go on beside the poison, after other faults have ended. */
#define OVERLAP_TAIL_USEC (8 * JH_USEC_PER_SEC)
/* Rate limits go on for longer: their rule begins only after a time. */
#define LIMITS_TAIL_USEC (5 * JH_USEC_PER_SEC)
/* This fraction of the requests sent in the last FINAL_USEC must be served. */
#define FINAL_USEC (3 * JH_USEC_PER_SEC)
#define MIN_FINAL_RATIO 0.9

#define WORK_MSEC 15
#define EVENT_MSEC 25

/* One request in so many is abandoned early; one in so many is chunked. */
#define ABANDON_INTERVAL 15
#define CHUNKED_INTERVAL 4
/* One request in so many goes to any router, the others on a kept connection.
 */
#define OTHER_ROUTER_INTERVAL 4
#define MAX_ABANDON_USEC (200 * JH_USEC_PER_MSEC)

static int64_t
parse_number(struct jh_str s)
{
	uint64_t n;

	return jh_str_number(s, &n) ? (int64_t)n : -1;
}

static void
on_execution_started(void *arg, struct fake_worker *worker,
    const struct jh_head *head, struct jh_str body)
{
	struct soak_fixture *fx = arg;
	unsigned int number = fake_worker_number(worker);
	struct soak_worker *state = &fx->workers[number];
	struct soak_execution execution = {
	    .id = jh_head_get(head, "X-Jacinthhill-Attempt-Id"),
	    .method = jh_str_from(head->method),
	    .target = jh_head_target(head),
	    .body = body,
	    .org = jh_head_get(head, "X-Jacinthhill-Tenant"),
	    .model = jh_head_get(head, "X-Jacinthhill-Model"),
	    .has_key = jh_head_get(head, "Api-Key").ptr != NULL,
	    .has_hold = jh_head_get(head, "X-Jacinthhill-Hold").ptr != NULL,
	    .remaining_msec = parse_number(
		jh_head_get(head, "X-Jacinthhill-Deadline-Milliseconds")),
	    .worker = number,
	    .faulty = state->mode != WORKER_RESPONDS || state->unavailable,
	};
	int64_t last = parse_number(jh_head_get(head, "Last-Event-Id"));

	execution.last_event = (int)MAX(last, 0);
	soak_checker_execution_started(fx->checker, jh_now(), &execution);
}

static void
on_execution_ended(void *arg, struct fake_worker *worker, struct jh_str id)
{
	struct soak_fixture *fx = arg;

	soak_checker_execution_ended(
	    fx->checker, jh_now(), fake_worker_number(worker), id);
}

static void
on_load_order(void *arg, struct fake_worker *worker, const char *holder,
    uint64_t token, unsigned int version)
{
	struct soak_fixture *fx = arg;

	soak_checker_load_order(
	    fx->checker, jh_now(), fake_worker_number(worker), holder, token);
}

static void
on_arrived(void *arg, struct fake_worker *worker, const struct jh_head *head)
{
	struct soak_fixture *fx = arg;

	soak_checker_arrived(fx->checker, jh_now(), fake_worker_number(worker),
	    jh_head_get(head, "X-Jacinthhill-Attempt-Id"));
}

static void
on_refused(void *arg, struct fake_worker *worker, const struct jh_head *head,
    uint64_t until)
{
	struct soak_fixture *fx = arg;

	soak_checker_refused(fx->checker, jh_now(), fake_worker_number(worker),
	    jh_head_get(head, "X-Jacinthhill-Attempt-Id"), until);
}

static const struct fake_worker_ops worker_ops = {on_execution_started,
    on_execution_ended, on_load_order, soak_poison_crashed, on_arrived,
    on_refused};

/* Whether the versions that may be in effect allow the request. */
static enum soak_permission
permission_of(const struct soak_fixture *fx,
    const struct soak_template *template, const struct soak_router *router)
{
	uint64_t now = jh_now();

	if (!template->ever_allowed)
		return SOAK_FORBIDDEN;
	if (template->parity < 0)
		return SOAK_ALLOWED;
	if (now < fx->parity_since + APPLY_USEC ||
	    !soak_checker_router_undisturbed(
		fx->checker, router->number, now) ||
	    !soak_checker_store_undisturbed(fx->checker, now))
		return SOAK_UNDECIDED;
	return (unsigned int)template->parity == fx->config_version % 2
		   ? SOAK_ALLOWED
		   : SOAK_FORBIDDEN;
}

/* Adds a header field that the router must not accept from a client. */
static void
append_forged_field(GString *out, GRand *rand)
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

/* The client's connection to kept_port, 0 if none, is mostly used again. */
static struct soak_router *
choose_router(struct soak_fixture *fx, unsigned int kept_port)
{
	bool keep = g_rand_int_range(fx->rand, 0, OTHER_ROUTER_INTERVAL) != 0;
	unsigned int i, at;

	for (i = 0; keep && i < fx->spec.routers; i++) {
		if (fx->routers[i].port == kept_port)
			return &fx->routers[i];
	}
	at = (unsigned int)g_rand_int_range(
	    fx->rand, 0, (gint32)fx->spec.routers);
	for (i = 0; i < fx->spec.routers; i++) {
		struct soak_router *router =
		    &fx->routers[(at + i) % fx->spec.routers];
		if (soak_process_runs(router->process) &&
		    !router->exit_expected)
			return router;
	}
	return &fx->routers[at];
}

static struct soak_template
choose_template(struct soak_fixture *fx)
{
	struct soak_template t;

	if (fx->spec.quotas &&
	    soak_quota_template_draw(fx->rand, jh_now() - fx->started, &t))
		return t;
	return soak_template_draw(fx->rand);
}

/* A stream of an organisation with a quota has its own size. */
static unsigned int
prompt_tokens(struct soak_fixture *fx, const struct soak_template *t)
{
	return t->org[0] == 'q' ? soak_prompt_tokens_draw(fx->rand)
				: SOAK_PROMPT_TOKENS;
}

static bool
next_request(void *arg, struct soak_client_request *out)
{
	struct soak_fixture *fx = arg;
	struct soak_template template = choose_template(fx);
	struct soak_router *router = choose_router(fx, out->port);
	struct soak_prompt prompt;
	unsigned int tokens;
	GString *fields = g_string_new(NULL);
	struct soak_request *r = &out->request;

	if (fx->ended)
		return false;
	r->crashes_workers =
	    template.kind == SOAK_STREAMING && soak_poison_due(fx);
	r->id = g_strdup_printf("s%u", ++fx->sent);
	r->target = g_strdup_printf("%s%s?q=%s", template.prefix, r->id, r->id);
	r->body = strcmp(template.method, "POST") == 0
		      ? g_strdup_printf("body of %s", r->id)
		      : g_strdup("");
	r->method = template.method;
	r->org = template.org;
	r->model = template.model;
	r->kind = template.kind;
	r->permission = permission_of(fx, &template, router);
	r->config_dependent = template.parity >= 0;
	r->ever_allowed = template.ever_allowed;
	r->router = router->number;
	r->timeout = SOAK_TIMEOUT_MSEC * JH_USEC_PER_MSEC;
	g_string_append_printf(fields,
	    "X-Jacinthhill-Deadline-Milliseconds: %d\r\n", SOAK_TIMEOUT_MSEC);
	if (template.key[0] != '\0')
		g_string_append_printf(fields, "Api-Key: %s\r\n", template.key);
	r->cost = strcmp(template.org, "q2") == 0 ? SOAK_CALL_TOKENS : 1;
	if (template.model[0] != '\0') {
		tokens = prompt_tokens(fx, &template);
		r->cost = tokens + SOAK_OUTPUT_TOKENS;
		prompt = soak_prompt_draw(fx, r->crashes_workers);
		g_string_append_printf(fields,
		    "X-Jacinthhill-Model: %s\r\n"
		    "X-Jacinthhill-Token-Counts: %u,%d\r\n"
		    "X-Jacinthhill-Prompt-Prefix: %s\r\n",
		    template.model, tokens, SOAK_OUTPUT_TOKENS, prompt.parts);
		r->first_part = prompt.first_part;
		r->parts = prompt.parts;
	}
	append_forged_field(fields, fx->rand);
	out->fields = g_string_free(fields, FALSE);
	out->port = router->port;
	out->chunked = g_rand_int_range(fx->rand, 0, CHUNKED_INTERVAL) == 0;
	if (g_rand_int_range(fx->rand, 0, ABANDON_INTERVAL) == 0)
		out->disconnect_usec = (uint64_t)g_rand_int_range(
		    fx->rand, 1, (gint32)MAX_ABANDON_USEC);
	return true;
}

static const struct soak_client_ops client_ops = {next_request};

static void
create_router(struct soak_fixture *fx, unsigned int number, unsigned int store)
{
	struct soak_router *router = &fx->routers[number];
	unsigned int client_port = fake_port(), store_port = fake_port();
	struct soak_fault f = {.target = number};
	char *name = g_strdup_printf("e%u", number);
	char *file = g_strdup_printf("%s/e%u.yaml", fx->spec.dir, number);
	char *log = g_strdup_printf("%s/e%u.log", fx->spec.dir, number);
	struct fake_router_settings settings = {.name = name,
	    .clients = client_port,
	    .readiness = fake_port(),
	    .metrics = fake_port(),
	    .store = store_port,
	    .grace_sec = SOAK_GRACE_SEC};
	char *argv[] = {(char *)fx->spec.program, file, NULL};

	router->fixture = fx;
	router->number = number;
	router->port = fake_port();
	router->client_proxy =
	    soak_proxy_create(&fx->loop, router->port, client_port);
	router->store_proxy = soak_proxy_create(&fx->loop, store_port, store);
	if (!fake_router_settings_write(file, &settings))
		g_error("cannot write %s", file);
	router->process =
	    soak_process_create(&fx->loop, argv, log, &soak_router_ops, router);
	soak_start_router(fx, &f);
	g_free(file);
	g_free(log);
	g_free(name);
}

static void
create_worker(struct soak_fixture *fx, unsigned int number)
{
	bool engine = number < fx->spec.engines;
	struct fake_worker_spec spec = {.number = number,
	    .service = engine ? "llm" : "app",
	    .model = engine ? "m1" : NULL,
	    .port = fake_port(),
	    .registered_port = fake_port(),
	    .work_msec = WORK_MSEC,
	    .begin_msec = EVENT_MSEC,
	    .event_msec = EVENT_MSEC,
	    .crash_part = fx->poison.part,
	    .ops = &worker_ops,
	    .arg = fx};

	fx->workers[number].proxy =
	    soak_proxy_create(&fx->loop, spec.registered_port, spec.port);
	fx->workers[number].fake =
	    fake_worker_create(&fx->loop, fx->objects, &spec);
}

/* Checks that the service has recovered after the faults. */
static void
check_end(struct soak_fixture *fx, double share)
{
	uint64_t now = jh_now();
	unsigned int i;

	if (share < MIN_FINAL_RATIO)
		soak_checker_add_violation(fx->checker, now, "RECOVER",
		    "%.3f of the last requests were served", share);
	for (i = 0; i < fx->spec.engines; i++) {
		if (fake_worker_weights(fx->workers[i].fake) !=
		    fx->weights_version)
			soak_checker_add_violation(fx->checker, now, "VERSION",
			    "worker %u has weights %u, not %u", i,
			    fake_worker_weights(fx->workers[i].fake),
			    fx->weights_version);
	}
	for (i = 0; i < fx->spec.routers; i++)
		fx->memory_kb = MAX(
		    fx->memory_kb, soak_process_memory(fx->routers[i].process));
}

static void
on_finish(uv_timer_t *t)
{
	struct soak_fixture *fx = t->data;

	fx->ended = true;
	uv_stop(&fx->loop);
}

static void
on_tick(uv_timer_t *t)
{
	struct soak_fixture *fx = t->data;

	soak_checker_tick(fx->checker, jh_now());
}

/* One quota is lowered at a random time among the faults. */
static void
add_quotas(struct soak_fixture *fx, uint64_t until)
{
	const struct soak_fault f = {.kind = FAULT_CONFIG};

	soak_publish_quotas(fx);
	soak_schedule(fx,
	    WARMUP_USEC + (uint64_t)(g_rand_double(fx->rand) *
				     (double)(until - WARMUP_USEC)),
	    soak_lower_quotas, &f);
}

static void
set_up(struct soak_fixture *fx)
{
	uint64_t length = (uint64_t)(fx->spec.seconds * 1e6);
	uint64_t quiet =
	    RECOVERY_USEC +
	    (fx->spec.poison ? SOAK_POISON_TAIL_SEC : 0) * JH_USEC_PER_SEC +
	    (fx->spec.quotas ? SOAK_QUOTA_TAIL_SEC : 0) * JH_USEC_PER_SEC;
	uint64_t until = length - MIN(length, quiet);
	struct soak_bounds bounds = {.connected_after = CONNECTED_AFTER_USEC,
	    .drain = DRAIN_USEC,
	    .response = RESPONSE_MARGIN_USEC,
	    .cancel = RESPONSE_MARGIN_USEC,
	    .order_grace = ORDER_GRACE_USEC,
	    .routers = fx->spec.routers,
	    .workers = fx->n_workers};
	unsigned int store = fake_port(), i;

	uv_loop_init(&fx->loop);
	fx->rand = g_rand_new_with_seed((guint32)fx->spec.seed);
	fx->checker = soak_checker_create(&bounds);
	fx->actions = g_ptr_array_new_with_free_func(soak_cancel_action);
	fx->clients = g_ptr_array_new();
	fx->routers = g_new0(struct soak_router, fx->spec.routers);
	fx->workers = g_new0(struct soak_worker, fx->n_workers);
	fx->objects = fake_objects_create(&fx->loop, store);
	fx->started = jh_now();
	soak_publish_config(fx, 1);
	soak_publish_weights(fx, 1);
	fx->plan =
	    soak_plan_draw(fx->rand, fx->spec.routers, WARMUP_USEC, until);
	if (fx->spec.poison)
		soak_plan_add_poison(fx->plan, fx->rand, WARMUP_USEC, until);
	soak_plan_add_overlaps(fx->plan, fx->rand, WARMUP_USEC,
	    until + (fx->spec.poison ? OVERLAP_TAIL_USEC : 0));
	if (!fx->spec.poison) {
		soak_plan_add_limits(
		    fx->plan, fx->rand, WARMUP_USEC, until + LIMITS_TAIL_USEC);
		soak_plan_add_notices(fx->plan, fx->rand, WARMUP_USEC, until);
	}
	if (fx->spec.restores)
		soak_plan_add_restores(fx->plan, fx->rand, WARMUP_USEC, until);
	if (fx->spec.quotas)
		add_quotas(fx, until);
	soak_poison_prepare(fx);
	for (i = 0; i < fx->n_workers; i++)
		create_worker(fx, i);
	for (i = 0; i < fx->spec.routers; i++)
		create_router(fx, i, store);
	for (i = 0; i < fx->plan->len; i++) {
		struct soak_fault *f =
		    &g_array_index(fx->plan, struct soak_fault, i);
		soak_schedule(fx, f->at, soak_inject_fault, f);
	}
	for (i = 0; i < fx->spec.clients; i++)
		g_ptr_array_add(
		    fx->clients, soak_client_create(&fx->loop, fx->checker,
				     fx->rand, &client_ops, fx));
	uv_timer_init(&fx->loop, &fx->tick_timer);
	fx->tick_timer.data = fx;
	uv_timer_start(&fx->tick_timer, on_tick,
	    SOAK_TICK_USEC / JH_USEC_PER_MSEC,
	    SOAK_TICK_USEC / JH_USEC_PER_MSEC);
	uv_timer_init(&fx->loop, &fx->end_timer);
	fx->end_timer.data = fx;
	uv_timer_start(&fx->end_timer, on_finish, length / JH_USEC_PER_MSEC, 0);
}

static void
tear_down(struct soak_fixture *fx)
{
	unsigned int i;

	for (i = 0; i < fx->clients->len; i++)
		soak_client_destroy(g_ptr_array_index(fx->clients, i));
	for (i = 0; i < fx->spec.routers; i++) {
		soak_process_destroy(fx->routers[i].process);
		soak_proxy_destroy(fx->routers[i].client_proxy);
		soak_proxy_destroy(fx->routers[i].store_proxy);
	}
	for (i = 0; i < fx->n_workers; i++) {
		soak_proxy_destroy(fx->workers[i].proxy);
		fake_worker_destroy(fx->workers[i].fake);
	}
	fake_objects_destroy(fx->objects);
	g_ptr_array_free(fx->actions, TRUE);
	uv_close((uv_handle_t *)&fx->end_timer, NULL);
	uv_close((uv_handle_t *)&fx->tick_timer, NULL);
	uv_run(&fx->loop, UV_RUN_DEFAULT);
	uv_loop_close(&fx->loop);
	g_ptr_array_free(fx->clients, TRUE);
	g_array_free(fx->plan, TRUE);
	g_rand_free(fx->rand);
	soak_checker_destroy(fx->checker);
	g_free(fx->routers);
	g_free(fx->workers);
}

struct soak_result
soak_run(const struct soak_spec *spec)
{
	struct soak_fixture fx = {.spec = *spec};
	struct soak_result result = {0};
	const GPtrArray *faults;
	guint i;

	fx.n_workers = spec->engines + spec->services;
	set_up(&fx);
	uv_run(&fx.loop, UV_RUN_DEFAULT);
	result.final_success_ratio =
	    soak_checker_success_ratio(fx.checker, jh_now() - FINAL_USEC);
	check_end(&fx, result.final_success_ratio);
	soak_checker_finish(fx.checker, jh_now());
	result.totals = soak_checker_totals(fx.checker);
	result.planned_faults = fx.plan->len;
	result.memory_kb = fx.memory_kb;
	faults = soak_checker_violations(fx.checker);
	result.violations = faults->len;
	for (i = 0; i < faults->len; i++)
		printf("seed %llu: %s (start %.3f)\n",
		    (unsigned long long)spec->seed,
		    (const char *)g_ptr_array_index(faults, i),
		    (double)fx.started / 1e6);
	tear_down(&fx);
	return result;
}
