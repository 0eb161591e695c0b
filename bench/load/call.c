#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "call.h"

/* Requests due within this time after --mark-at have a group of their own. */
#define MARK_USEC (5 * JH_USEC_PER_SEC)

/* Longest body of an error that is kept, in bytes. */
#define ERROR_LIMIT 4096

struct call {
	struct call_context *ctx;
	struct shape_request q;
	uint64_t due;
	uint64_t last_token_at;
	uint64_t position;
	bool ended; /* [DONE] was received */
	bool out_of_order; /* event missing, repeated or after [DONE] */
	GString *buffer; /* incomplete event, or the body of an error */
	GArray *gaps; /* of uint32_t */
	struct result res;
};

/*
 * Position of an event in its stream. It is the whole id of an engine's event
 * and the last number in the id of a router's event.
 */
static uint64_t
event_position(const char *event)
{
	const char *end = strchr(event, '\n'), *p;

	if (!g_str_has_prefix(event, "id: ") || end == NULL)
		return 0;
	for (p = end; p > event + 4 && g_ascii_isdigit(p[-1]); p--)
		;
	return g_ascii_strtoull(p, NULL, 10);
}

static void
parse_event(struct call *c, const char *event, uint64_t now)
{
	uint32_t gap;

	if (g_str_has_prefix(event, "data: [DONE]")) {
		c->out_of_order |= c->ended;
		c->ended = true;
		return;
	}
	if (c->ended || event_position(event) != c->position + 1)
		c->out_of_order = true;
	c->position++;
	if (c->position == 1) {
		c->res.ttft = now - c->due;
	} else {
		gap = (uint32_t)MIN(now - c->last_token_at, G_MAXUINT32);
		g_array_append_val(c->gaps, gap);
	}
	c->last_token_at = now;
}

static void
parse_events(struct call *c)
{
	uint64_t now = jh_now();
	char *from = c->buffer->str, *end;

	while ((end = strstr(from, "\n\n")) != NULL) {
		end[1] = '\0';
		parse_event(c, from, now);
		from = end + 2;
	}
	g_string_erase(c->buffer, 0, from - c->buffer->str);
}

static bool
on_data(void *arg, struct jh_http_call *call, struct jh_str data)
{
	struct call *c = arg;

	if (jh_http_call_status(call) == 200 && !c->q.payment) {
		g_string_append_len(c->buffer, data.ptr, (gssize)data.len);
		parse_events(c);
	} else if (c->buffer->len + data.len <= ERROR_LIMIT) {
		g_string_append_len(c->buffer, data.ptr, (gssize)data.len);
	}
	return true;
}

static void
on_begun(void *arg, struct jh_http_call *call)
{
	struct call *c = arg;
	const char *cached = jh_http_call_header(call, "X-Cached-Tokens");

	if (cached != NULL)
		c->res.cached_tokens = g_ascii_strtoull(cached, NULL, 10);
}

/* Error code of a rejected request, else its HTTP status. */
static char *
error_code(struct call *c, unsigned int status)
{
	json_t *root = json_loadb(c->buffer->str, c->buffer->len, 0, NULL);
	json_t *error = json_object_get(root, "error");
	const char *code = json_string_value(json_object_get(error, "code"));
	char *out =
	    code == NULL ? g_strdup_printf("http-%u", status) : g_strdup(code);

	json_decref(root);
	return out;
}

static void
finish(struct call *c)
{
	struct call_context *ctx = c->ctx;

	c->res.gaps = c->gaps;
	report_add(ctx->report, &c->res);
	pthread_mutex_lock(&ctx->lock);
	ctx->in_progress--;
	pthread_cond_signal(&ctx->ended);
	pthread_mutex_unlock(&ctx->lock);
	g_string_free(c->buffer, TRUE);
	g_array_free(c->gaps, TRUE);
	g_free(c);
}

static void
on_done(void *arg, struct jh_http_call *call, enum jh_http_result result)
{
	struct call *c = arg;
	unsigned int status = jh_http_call_status(call);
	char *code = NULL;

	if (result == JH_HTTP_NOT_SENT) {
		c->res.code = "not_connected";
	} else if (result == JH_HTTP_OK && status != 200) {
		code = error_code(c, status);
		c->res.code = code;
	} else if (c->q.payment) {
		c->res.complete = result == JH_HTTP_OK;
		c->res.ttft = jh_now() - c->due;
	} else {
		c->res.complete = result == JH_HTTP_OK && c->ended &&
				  !c->out_of_order &&
				  c->position == c->q.tokens;
	}
	if (!c->res.complete && c->res.code == NULL)
		c->res.code =
		    result == JH_HTTP_TIMED_OUT ? "timed_out" : "broken";
	c->res.tokens = c->position;
	finish(c);
	g_free(code);
}

static const struct jh_http_call_ops ops = {
    .begun = on_begun, .data = on_data, .done = on_done};

static char **
request_headers(struct call *c, uint64_t number)
{
	const struct load_options *o = c->ctx->opt;
	GPtrArray *h = g_ptr_array_new();

	g_ptr_array_add(h, g_strdup("Content-Type: application/json"));
	if (o->direct) {
		g_ptr_array_add(
		    h, g_strdup_printf("X-Cache-Salt: salt-%u", c->q.org));
		if (c->q.shared) {
			g_ptr_array_add(h, g_strdup("X-Shared-Salt: shared"));
			g_ptr_array_add(h, g_strdup("X-Shared-Messages: 1"));
		}
		g_ptr_array_add(
		    h, g_strdup_printf(
			   "X-Request-Id: load-%" G_GUINT64_FORMAT, number));
		g_ptr_array_add(
		    h, g_strdup_printf("X-Priority: %d", c->q.background));
	} else {
		g_ptr_array_add(
		    h, g_strdup_printf(
			   "Authorization: Bearer key-org-%u", c->q.org));
		g_ptr_array_add(h,
		    g_strdup_printf("X-Class: %s", c->q.payment ? o->service
						   : c->q.background ? "draft"
								     : "chat"));
	}
	if (c->q.payment)
		g_ptr_array_add(
		    h, g_strdup_printf(
			   "Idempotency-Key: load-%08x-%" G_GUINT64_FORMAT,
			   (unsigned int)c->ctx->started_at, number));
	g_ptr_array_add(h, NULL);
	return (char **)g_ptr_array_free(h, FALSE);
}

static bool
is_marked(const struct call_context *ctx, uint64_t due)
{
	uint64_t from;

	if (ctx->opt->mark_at < 0)
		return false;
	from = ctx->started_at +
	       (uint64_t)(ctx->opt->mark_at * (double)JH_USEC_PER_SEC);
	return due >= from && due < from + MARK_USEC;
}

static struct call *
create(struct call_context *ctx, struct shape_request *q, uint64_t due)
{
	struct call *c = g_new0(struct call, 1);

	c->ctx = ctx;
	c->q = *q;
	c->due = due;
	c->buffer = g_string_new(NULL);
	c->gaps = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	c->res = (struct result){.org = q->org,
	    .background = q->background,
	    .payment = q->payment,
	    .marked = is_marked(ctx, due),
	    .prompt_tokens = q->prompt_tokens};
	return c;
}

void
call_send(struct call_context *ctx, struct shape_request *q, uint64_t due)
{
	const GArray *targets = ctx->opt->targets;
	uint64_t number = ctx->next_target++;
	struct call *c = create(ctx, q, due);
	char *path = q->payment ? g_strdup_printf(
				      "/v1/services/%s/pay", ctx->opt->service)
				: g_strdup("/v1/chat/completions");
	char **headers = request_headers(c, number);
	struct jh_http_call_spec spec = {
	    .peer = g_array_index(
		targets, struct sockaddr_in, number % targets->len),
	    .method = "POST",
	    .path = path,
	    .headers = (const char *const *)headers,
	    .body = {q->body->str, q->body->len},
	    .deadline =
		jh_now() + (uint64_t)ctx->opt->timeout_ms * JH_USEC_PER_MSEC,
	    .ops = &ops,
	    .arg = c};
	struct jh_http_call *call;

	pthread_mutex_lock(&ctx->lock);
	ctx->in_progress++;
	pthread_mutex_unlock(&ctx->lock);
	call = jh_http_call_start(ctx->client, &spec);
	if (call == NULL) {
		c->res.code = "not_sent";
		finish(c);
	}
	jh_http_call_unref(call);
	g_string_free(q->body, TRUE);
	g_strfreev(headers);
	g_free(path);
}
