#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/clock.h>

#include "base/json_log.h"

struct jh_json_log {
	int fd;
	char *process;
	GString *unwritten;
	uint64_t second; /* of jh_now(), in which lines are counted */
	unsigned int lines; /* logged in that second */
	uint64_t dropped; /* lines, in total */
	uint64_t reported; /* of dropped, in log_lines_dropped events */
};

struct jh_json_log *
jh_json_log_create(int fd, const char *process)
{
	struct jh_json_log *t = g_new0(struct jh_json_log, 1);
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	t->fd = fd;
	t->process = g_strdup(process);
	t->unwritten = g_string_sized_new(4096);
	return t;
}

void
jh_json_log_destroy(struct jh_json_log *t)
{
	if (t == NULL)
		return;
	jh_json_log_flush(t);
	g_string_free(t->unwritten, TRUE);
	g_free(t->process);
	g_free(t);
}

static void
add_line(struct jh_json_log *t, const char *event, json_t *root)
{
	uint64_t now = jh_wall_now();
	char *text;

	json_object_set_new(root, "event", json_string(event));
	json_object_set_new(
	    root, "at_ms", json_integer((json_int_t)(now / 1000)));
	json_object_set_new(root, "process", json_string(t->process));
	text = json_dumps(root, JSON_COMPACT);
	if (text == NULL)
		return;
	g_string_append(t->unwritten, text);
	g_string_append_c(t->unwritten, '\n');
	free(text);
}

/*
 * Whether the rate limit and the buffer allow another line. Reports dropped
 * lines at the first call of a second.
 */
static int
has_room(struct jh_json_log *t)
{
	uint64_t second = jh_now() / JH_USEC_PER_SEC;

	if (second != t->second) {
		t->second = second;
		t->lines = 0;
		if (t->dropped > t->reported) {
			json_t *root = json_pack("{s:I}", "lines",
			    (json_int_t)(t->dropped - t->reported));
			t->reported = t->dropped;
			add_line(t, "log_lines_dropped", root);
			json_decref(root);
		}
	}
	return t->lines < JH_JSON_LOG_LINES_PER_SEC &&
	       t->unwritten->len < JH_JSON_LOG_BUFFER_LEN;
}

void
jh_json_log(struct jh_json_log *t, const char *event, const char *fmt, ...)
{
	json_error_t error;
	char *braced;
	json_t *root;
	va_list ap;

	if (!has_room(t)) {
		t->dropped++;
		return;
	}
	t->lines++;
	braced = g_strconcat("{", fmt, "}", NULL);
	va_start(ap, fmt);
	root = json_vpack_ex(&error, 0, braced, ap);
	va_end(ap);
	g_free(braced);
	if (root == NULL)
		root = json_pack("{s:s}", "unprintable", error.text);
	add_line(t, event, root);
	json_decref(root);
	if (t->unwritten->len > JH_JSON_LOG_BUFFER_LEN / 8)
		jh_json_log_flush(t);
}

void
jh_json_log_flush(struct jh_json_log *t)
{
	while (t->unwritten->len > 0) {
		ssize_t n = write(t->fd, t->unwritten->str, t->unwritten->len);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return; /* the reader is slow or gone; keep the lines */
		g_string_erase(t->unwritten, 0, n);
	}
}

uint64_t
jh_json_log_dropped(const struct jh_json_log *t)
{
	return t->dropped;
}
