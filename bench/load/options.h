#ifndef BENCH_LOAD_OPTIONS_H
#define BENCH_LOAD_OPTIONS_H

#include <stdbool.h>

#include <glib.h>
#include <netinet/in.h>

/* The command line of jhload. */
struct load_options {
	GArray *targets; /* of struct sockaddr_in, used in rotation */
	gboolean direct; /* targets are engines, not entry daemons */
	gdouble rate; /* arrivals per second */
	gint concurrency; /* over 0: closed loop instead of arrivals */
	gdouble seconds;
	gint64 max_requests;
	gint64 seed;
	gchar *shape;
	gint record_kb; /* 0: the sizes of the shape */
	gint records; /* 0: as many as the shape has */
	gdouble background; /* share of background work */
	gint only_org; /* -1: all organisations */
	gint tokens;
	gint background_tokens;
	gdouble payments; /* share of calls to the plain service */
	gchar *service;
	gdouble shift_at; /* seconds; all prefixes change; below 0: never */
	gdouble mark_at; /* seconds; requests of the next 5 s count apart */
	gint urgent_target_ms;
	gint background_target_ms;
	gint timeout_ms;
	gboolean json;
	gboolean print_shared;
};

/* Prints a message and returns false on a fault. */
bool load_options_parse(struct load_options *o, int argc, char **argv);
void load_options_clear(struct load_options *o);

#endif
