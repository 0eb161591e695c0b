#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/event.h"

static const char *program_name = "jacinthhill";

static const char *
level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_DEBUG:
		return "debug";
	default:
		return "info";
	}
}

static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer arg)
{
	const char *msg = "", *number = "0";
	GDateTime *now;
	char *timestamp;
	gsize i;

	if ((level & G_LOG_LEVEL_DEBUG) != 0 && getenv("JH_DEBUG") == NULL)
		return G_LOG_WRITER_HANDLED;
	for (i = 0; i < n; i++) {
		if (g_strcmp0(fields[i].key, "MESSAGE") == 0)
			msg = fields[i].value;
		else if (g_strcmp0(fields[i].key, "JH_EVENT") == 0)
			number = fields[i].value;
	}
	now = g_date_time_new_now_utc();
	timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	fprintf(stderr, "%s %s %s %s: %s\n", timestamp, level_name(level),
	    number, program_name, msg);
	g_free(timestamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

void
jh_event_init(const char *program)
{
	program_name = program;
	g_log_set_writer_func(write_line, NULL, NULL);
}

void
jh_event(enum jh_event ev, GLogLevelFlags level, const char *fmt, ...)
{
	char number[16];
	char *msg;
	va_list ap;

	va_start(ap, fmt);
	msg = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	snprintf(number, sizeof(number), "%d", (int)ev);
	g_log_structured(
	    "jacinthhill", level, "JH_EVENT", number, "MESSAGE", "%s", msg);
	g_free(msg);
}
