#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <jacinthhill/clock.h>

#include "fakes/platform/reply.h"
#include "fakes/platform/worker_state.h"

#define LOAD_MSEC 100

/* Called with the lock held. */
static void
register_worker(struct fake_worker *w)
{
	json_t *models = json_array(), *spec;
	char address[32];

	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
	    w->spec.registered_port != 0 ? w->spec.registered_port
					 : w->spec.port);
	if (w->spec.model != NULL)
		json_array_append_new(
		    models, json_pack("{s:s, s:i}", "name", w->spec.model,
				"version", (int)w->weights));
	spec = json_pack("{s:s, s:s, s:s, s:i, s:s, s:o, s:i, s:I}", "service",
	    w->spec.service, "address", address, "zone", "z0", "slots", 8,
	    "state", w->draining ? "draining" : "ready", "models", models,
	    "sequence", 1, "born", (json_int_t)w->started_ms);
	fake_objects_put(w->objects, "servers", w->id, spec);
	json_decref(spec);
}

static void
on_loaded(uv_timer_t *t)
{
	struct fake_worker *w = t->data;

	fake_objects_lock(w->objects);
	w->weights = w->loading;
	w->loading = 0;
	register_worker(w);
	fake_objects_unlock(w->objects);
}

static void
handle_order(struct fake_worker *w, struct jh_server_request *v)
{
	struct jh_str body = jh_server_request_body(v);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	unsigned int version =
	    (unsigned int)json_integer_value(json_object_get(root, "version"));
	json_t *expected = json_object_get(root, "expected");
	const char *holder = json_string_value(json_object_get(root, "holder"));
	json_int_t token =
	    json_integer_value(json_object_get(root, "fencingToken"));
	unsigned int status = 202;
	char *notices;

	if (token <= 0 || holder == NULL || version == 0)
		status = 400;
	else if (w->loading != 0 ||
		 (expected != NULL &&
		     json_integer_value(expected) != (json_int_t)w->orders))
		status = 409;
	else if (version == w->weights)
		status = 200;
	if (status == 202) {
		w->orders++;
		w->loading = version;
		uv_timer_start(&w->load_timer, on_loaded,
		    w->spec.load_msec != 0 ? w->spec.load_msec : LOAD_MSEC, 0);
		if (w->spec.ops != NULL && w->spec.ops->ordered != NULL)
			w->spec.ops->ordered(
			    w->spec.arg, w, holder, (uint64_t)token, version);
	}
	json_decref(root);
	notices = fake_notice_fields(w);
	jh_server_request_respond(
	    v, status, "Answer", jh_str_from(notices), JH_STR(""));
	g_free(notices);
}

static bool
is_misdirected(const struct fake_worker *w, const struct jh_head *head)
{
	struct jh_str id = jh_head_get(head, "X-Jacinthhill-Expected-Instance");
	struct jh_str weights =
	    jh_head_get(head, "X-Jacinthhill-Expected-Version");

	if (id.ptr != NULL && !jh_str_eq(id, jh_str_from(w->id)))
		return true;
	return weights.ptr != NULL &&
	       (unsigned int)atoi(weights.ptr) != w->weights;
}

char *
fake_notice_fields(const struct fake_worker *w)
{
	const char *leaving = w->leaving ? "Server-Leaving: 1\r\n" : "";
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	if (w->rate_limit < 0)
		return g_strdup(leaving);
	g_ascii_formatd(number, sizeof(number), "%.2f", w->rate_limit);
	return g_strdup_printf("Server-Limit: %s\r\n%s", number, leaving);
}

static void
send_misdirected(struct fake_worker *w, struct jh_server_request *v)
{
	char *notices = fake_notice_fields(w);
	char *fields = g_strdup_printf(
	    "X-Jacinthhill-Instance-Id: %s\r\n%s", w->id, notices);

	w->misdirected++;
	jh_server_request_respond(
	    v, 421, "Misdirected", jh_str_from(fields), JH_STR(""));
	g_free(fields);
	g_free(notices);
}

/* more: header lines. */
static void
send_declined(
    struct fake_worker *w, struct jh_server_request *v, const char *more)
{
	char *notices = fake_notice_fields(w);
	char *fields = g_strconcat(
	    "X-Jacinthhill-Not-Executed: 1\r\n", more, notices, NULL);

	jh_server_request_respond(
	    v, 503, "Busy", jh_str_from(fields), JH_STR(""));
	g_free(fields);
	g_free(notices);
}

static void
send_refused(struct fake_worker *w, struct jh_server_request *v, uint64_t now)
{
	uint64_t msec = (w->refuses_until - now) / JH_USEC_PER_MSEC + 1;
	char seconds[G_ASCII_DTOSTR_BUF_SIZE], *field;

	g_ascii_formatd(seconds, sizeof(seconds), "%.3f", (double)msec / 1000);
	field = g_strdup_printf("Retry-After: %s\r\n", seconds);
	if (w->spec.ops != NULL && w->spec.ops->refused != NULL)
		w->spec.ops->refused(w->spec.arg, w, jh_server_request_head(v),
		    w->refuses_until);
	send_declined(w, v, field);
	g_free(field);
}

static void
send_report(struct fake_worker *w, struct jh_server_request *v)
{
	json_t *models = json_array();
	char *notices = fake_notice_fields(w);

	if (w->spec.model != NULL)
		json_array_append_new(
		    models, json_pack("{s:s, s:i}", "name", w->spec.model,
				"version", (int)w->weights));
	fake_reply_json_fields(v, 200, notices,
	    json_pack("{s:o, s:b, s:i, s:I}", "models", models, "busy",
		w->loading != 0, "sequence", (int)w->orders, "born",
		(json_int_t)w->started_ms));
	g_free(notices);
}

static void
on_request(void *arg, struct jh_server_request *v)
{
	struct fake_worker *w = arg;
	const struct jh_head *head = jh_server_request_head(v);
	struct jh_str path = jh_head_path(head);
	uint64_t now = jh_now();

	fake_objects_lock(w->objects);
	if (fake_run_crashes(w, head))
		w->crash_arrivals++;
	if (w->spec.ops != NULL && w->spec.ops->arrived != NULL &&
	    !jh_str_eq(path, JH_STR("/report")) &&
	    !jh_str_eq(path, JH_STR("/order")))
		w->spec.ops->arrived(w->spec.arg, w, head);
	if (now < w->refuses_until && !is_misdirected(w, head))
		send_refused(w, v, now);
	else if (jh_str_eq(path, JH_STR("/report")))
		send_report(w, v);
	else if (is_misdirected(w, head))
		send_misdirected(w, v);
	else if (jh_str_eq(path, JH_STR("/order")))
		handle_order(w, v);
	else if (w->mode == WORKER_DECLINES || w->loading != 0)
		send_declined(w, v, "");
	else
		fake_run_start(w, v);
	fake_objects_unlock(w->objects);
}

static const struct jh_uv_server_ops server_ops = {.request = on_request};

void
fake_worker_start(struct fake_worker *w)
{
	fake_objects_lock(w->objects);
	if (w->starts++ == 0)
		g_snprintf(w->id, sizeof(w->id), "w%u", w->spec.number);
	else
		g_snprintf(
		    w->id, sizeof(w->id), "w%u-%u", w->spec.number, w->starts);
	w->draining = false;
	w->leaving = false;
	w->refuses_until = 0;
	w->orders = 0;
	w->started_ms = (uint64_t)g_get_real_time() / JH_USEC_PER_MSEC;
	w->server = fake_listen(w->loop, w->spec.port, &server_ops, w);
	register_worker(w);
	fake_objects_unlock(w->objects);
}

static void
on_restart(uv_timer_t *t)
{
	fake_worker_start(t->data);
}

void
fake_worker_crash(struct fake_worker *w)
{
	GHashTableIter it;
	gpointer r;

	fake_objects_lock(w->objects);
	while (g_hash_table_iter_init(&it, w->running),
	    g_hash_table_iter_next(&it, &r, NULL))
		fake_run_reset(r);
	uv_timer_stop(&w->load_timer);
	if (w->loading != 0)
		w->weights = w->loading;
	w->loading = 0;
	jh_uv_server_destroy(w->server);
	w->server = NULL;
	fake_objects_remove(w->objects, "servers", w->id);
	if (w->spec.restart_msec != 0)
		uv_timer_start(
		    &w->restart_timer, on_restart, w->spec.restart_msec, 0);
	fake_objects_unlock(w->objects);
}

bool
fake_worker_is_up(const struct fake_worker *w)
{
	return w->server != NULL;
}

struct fake_worker *
fake_worker_create(uv_loop_t *loop, struct fake_objects *objects,
    const struct fake_worker_spec *spec)
{
	struct fake_worker *w = g_new0(struct fake_worker, 1);

	w->spec = *spec;
	w->loop = loop;
	w->objects = objects;
	w->weights = 1;
	w->rate_limit = -1;
	w->running = g_hash_table_new(NULL, NULL);
	uv_timer_init(loop, &w->load_timer);
	uv_timer_init(loop, &w->restart_timer);
	w->load_timer.data = w->restart_timer.data = w;
	fake_worker_start(w);
	return w;
}

void
fake_worker_destroy(struct fake_worker *w)
{
	if (w->server != NULL)
		fake_worker_crash(w);
	uv_close((uv_handle_t *)&w->load_timer, NULL);
	uv_close((uv_handle_t *)&w->restart_timer, NULL);
	uv_run(w->loop, UV_RUN_NOWAIT);
	g_hash_table_destroy(w->running);
	g_free(w->last_head);
	g_free(w);
}

void
fake_worker_set_mode(struct fake_worker *w, enum fake_worker_mode mode)
{
	fake_objects_lock(w->objects);
	w->mode = mode;
	fake_objects_unlock(w->objects);
}

void
fake_worker_set_rate_limit(struct fake_worker *w, double limit)
{
	fake_objects_lock(w->objects);
	w->rate_limit = limit;
	fake_objects_unlock(w->objects);
}

void
fake_worker_announce_leaving(struct fake_worker *w)
{
	fake_objects_lock(w->objects);
	w->leaving = true;
	fake_objects_unlock(w->objects);
}

void
fake_worker_refuse(struct fake_worker *w, uint64_t until)
{
	fake_objects_lock(w->objects);
	if (jh_now() >= w->refuses_until)
		w->refuses_until = until;
	fake_objects_unlock(w->objects);
}

void
fake_worker_drain(struct fake_worker *w)
{
	fake_objects_lock(w->objects);
	w->draining = true;
	register_worker(w);
	fake_objects_unlock(w->objects);
}

unsigned int
fake_worker_number(const struct fake_worker *w)
{
	return w->spec.number;
}

static unsigned int
locked_value(struct fake_worker *w, const unsigned int *at)
{
	unsigned int n;

	fake_objects_lock(w->objects);
	n = *at;
	fake_objects_unlock(w->objects);
	return n;
}

unsigned int
fake_worker_runs(struct fake_worker *w)
{
	return locked_value(w, &w->runs);
}

unsigned int
fake_worker_misdirected(struct fake_worker *w)
{
	return locked_value(w, &w->misdirected);
}

unsigned int
fake_worker_crashes(struct fake_worker *w)
{
	return locked_value(w, &w->crashes);
}

unsigned int
fake_worker_crash_arrivals(struct fake_worker *w)
{
	return locked_value(w, &w->crash_arrivals);
}

unsigned int
fake_worker_weights(struct fake_worker *w)
{
	return locked_value(w, &w->weights);
}

unsigned int
fake_worker_orders(struct fake_worker *w)
{
	return locked_value(w, &w->orders);
}

char *
fake_worker_last_head(struct fake_worker *w)
{
	char *copy;

	fake_objects_lock(w->objects);
	copy = g_strdup(w->last_head);
	fake_objects_unlock(w->objects);
	return copy;
}
