#include <stdlib.h>
#include <string.h>

#include "fakes/platform/worker_state.h"

static void
on_run_closed(uv_handle_t *h)
{
	struct fake_run *r = h->data;

	g_string_free(r->fields, TRUE);
	g_free(r->id);
	g_free(r);
}

void
fake_run_end(struct fake_run *r)
{
	struct fake_worker *w = r->worker;

	g_hash_table_remove(w->running, r);
	if (w->spec.ops != NULL && w->spec.ops->ended != NULL)
		w->spec.ops->ended(w->spec.arg, w, jh_str_from(r->id));
	uv_close((uv_handle_t *)&r->timer, on_run_closed);
}

void
fake_run_reset(struct fake_run *r)
{
	jh_server_request_abort(r->request);
	fake_run_end(r);
}

static void
on_disconnect(void *arg)
{
	struct fake_run *r = arg;

	fake_objects_lock(r->worker->objects);
	fake_run_end(r);
	fake_objects_unlock(r->worker->objects);
}

static void
on_drained(void *arg)
{
}

static const struct jh_server_request_ops run_ops = {
    .disconnected = on_disconnect, .drained = on_drained};

static void
send_head(struct fake_run *r)
{
	jh_server_request_begin_response(r->request, 200, "OK",
	    (struct jh_str){r->fields->str, r->fields->len});
	r->head_sent = true;
}

/* Sends the next event; returns false when the stream has ended. */
static bool
send_event(struct fake_run *r)
{
	char event[64];

	r->event++;
	g_snprintf(
	    event, sizeof(event), "id: %d\ndata: t%d\n\n", r->event, r->event);
	jh_server_request_write(r->request, jh_str_from(event));
	if (r->mode == WORKER_RESETS_STREAM &&
	    r->event == FAKE_WORKER_EVENTS / 2) {
		jh_server_request_write(r->request, JH_STR("id: 4\nda"));
		/* The client receives only what was written before. */
		jh_server_request_abort(r->request);
		return false;
	}
	if (r->event < FAKE_WORKER_EVENTS)
		return true;
	jh_server_request_end(r->request);
	return false;
}

static void
send_response(struct fake_run *r)
{
	struct jh_str fields = {r->fields->str, r->fields->len};
	char *padding = g_strnfill(r->worker->spec.padding, 'x');
	char *body = g_strconcat("done ", r->id, padding, NULL);

	switch (r->mode) {
	case WORKER_RESETS:
		jh_server_request_abort(r->request);
		break;
	case WORKER_RETURNS_ERROR:
		jh_server_request_respond(
		    r->request, 500, "Error", fields, JH_STR("broken"));
		break;
	case WORKER_GARBLES:
		jh_server_request_begin_response(r->request, 200,
		    "OK\r\nno answer", JH_STR("\001\002: \r\n"));
		jh_server_request_abort(r->request);
		break;
	case WORKER_TRUNCATES:
		jh_server_request_begin_response(r->request, 200, "OK", fields);
		jh_server_request_write(r->request, JH_STR("do"));
		jh_server_request_abort(r->request);
		break;
	default:
		jh_server_request_respond(
		    r->request, 200, "OK", fields, jh_str_from(body));
		break;
	}
	g_free(padding);
	g_free(body);
}

static void
on_run_timer(uv_timer_t *t)
{
	struct fake_run *r = t->data;
	struct fake_worker *w = r->worker;

	fake_objects_lock(w->objects);
	if (r->mode == WORKER_SILENT) {
		uv_timer_stop(&r->timer);
	} else if (!r->head_sent && (r->is_stream || r->crashes) &&
		   !(r->crashes && w->spec.crash_headless)) {
		send_head(r);
		uv_timer_start(&r->timer, on_run_timer, w->spec.begin_msec, 0);
	} else if (r->crashes &&
		   r->event - r->first_event >= w->spec.crash_events) {
		w->crashes++;
		fake_worker_crash(w);
		if (w->spec.ops != NULL && w->spec.ops->crashed != NULL)
			w->spec.ops->crashed(w->spec.arg, w);
	} else if (!r->is_stream) {
		send_response(r);
		fake_run_end(r);
	} else {
		/* If event_msec is 0, all events are sent at once. */
		while (send_event(r)) {
			if (w->spec.event_msec == 0)
				continue;
			uv_timer_start(
			    &r->timer, on_run_timer, w->spec.event_msec, 0);
			fake_objects_unlock(w->objects);
			return;
		}
		fake_run_end(r);
	}
	fake_objects_unlock(w->objects);
}

static void
save_head(struct fake_worker *w, const struct jh_head *head)
{
	GString *s = g_string_new(NULL);
	size_t i;

	for (i = 0; i < jh_head_count(head); i++)
		g_string_append_printf(s, "%.*s: %.*s\n",
		    (int)jh_head_name(head, i).len, jh_head_name(head, i).ptr,
		    (int)jh_head_value(head, i).len,
		    jh_head_value(head, i).ptr);
	g_free(w->last_head);
	w->last_head = g_string_free(s, FALSE);
}

static bool
has_crash_part(const struct fake_worker *w, const struct jh_head *head)
{
	struct jh_str list = jh_head_get(head, "X-Jacinthhill-Prompt-Prefix");
	bool found = false;
	char *text, **parts;
	guint i;

	if (w->spec.crash_part == NULL || list.ptr == NULL)
		return false;
	text = jh_str_dup(list);
	parts = g_strsplit(text, ",", -1);
	/* The last part belongs to the request itself. */
	for (i = 0; parts[i] != NULL && parts[i + 1] != NULL; i++) {
		char **fields = g_strsplit(g_strstrip(parts[i]), ":", 2);
		if (g_ascii_strcasecmp(fields[0], w->spec.crash_part) == 0)
			found = true;
		g_strfreev(fields);
	}
	g_strfreev(parts);
	g_free(text);
	return found;
}

bool
fake_run_crashes(const struct fake_worker *w, const struct jh_head *head)
{
	if (w->spec.crash_path != NULL &&
	    jh_str_eq(jh_head_path(head), jh_str_from(w->spec.crash_path)))
		return true;
	return has_crash_part(w, head);
}

static bool
has_prefix(struct jh_str s, const char *prefix)
{
	return s.len >= strlen(prefix) &&
	       memcmp(s.ptr, prefix, strlen(prefix)) == 0;
}

void
fake_run_start(struct fake_worker *w, struct jh_server_request *v)
{
	const struct jh_head *head = jh_server_request_head(v);
	struct jh_str last = jh_head_get(head, "Last-Event-Id");
	struct fake_run *r = g_new0(struct fake_run, 1);
	char *notices = fake_notice_fields(w);

	w->runs++;
	save_head(w, head);
	r->worker = w;
	r->request = v;
	r->mode = w->mode;
	if (r->mode == WORKER_RESETS_STREAM)
		w->mode = WORKER_RESPONDS;
	r->id = jh_str_dup(jh_head_get(head, "X-Jacinthhill-Attempt-Id"));
	r->is_stream = has_prefix(jh_head_path(head), "/stream/") &&
		       r->mode != WORKER_RESETS &&
		       r->mode != WORKER_RETURNS_ERROR &&
		       r->mode != WORKER_GARBLES;
	r->crashes = fake_run_crashes(w, head);
	r->event = last.ptr != NULL ? atoi(last.ptr) : 0;
	r->first_event = r->event;
	r->fields = g_string_new(NULL);
	g_string_append_printf(r->fields,
	    "X-Jacinthhill-Attempt-Id: %s\r\n"
	    "X-Jacinthhill-Weight-Versions: %u\r\n%s",
	    r->id, w->weights, notices);
	g_free(notices);
	if (r->mode != WORKER_UNSEALED)
		g_string_append_printf(r->fields,
		    "X-Jacinthhill-Response-Seal: %s.%s\r\n", w->id, r->id);
	if (r->is_stream)
		g_string_append(
		    r->fields, "Content-Type: text/event-stream\r\n");
	uv_timer_init(w->loop, &r->timer);
	r->timer.data = r;
	g_hash_table_add(w->running, r);
	if (w->spec.ops != NULL)
		w->spec.ops->ran(
		    w->spec.arg, w, head, jh_server_request_body(v));
	jh_server_request_set_ops(v, &run_ops, r);
	uv_timer_start(&r->timer, on_run_timer, w->spec.work_msec, 0);
}
