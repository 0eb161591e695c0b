#ifndef BENCH_LOAD_OPTIONS_H
#define BENCH_LOAD_OPTIONS_H

#include <stdbool.h>

#include <glib.h>
#include <netinet/in.h>

/* Command-line options of jhload. */
struct load_options {
	GArray *targets; /* of struct sockaddr_in, used in rotation */
	gboolean direct; /* targets are engines, not entry daemons */
	gdouble rate; /* arrivals per second */
	gint concurrency; /* over 0: closed loop; 0: Poisson arrivals */
	gdouble seconds;
	gint64 max_requests;
	gint64 seed;
	gchar *shape;
	gint record_kb; /* 0: the sizes that the shape defines */
	gint records; /* 0: the number that the shape defines */
	gdouble background; /* share of background requests, 0 to 1 */
	gint only_org; /* -1: all organisations */
	gint tokens;
	gint background_tokens;
	gdouble payments; /* share of calls to the service, 0 to 1 */
	gchar *service;
	gdouble shift_at; /* seconds; new prefixes from then; below 0: never */
	gdouble mark_at; /* seconds; requests of the next 5 s: own group */
	gint urgent_target_ms;
	gint background_target_ms;
	gint timeout_ms;
	gboolean json;
	gboolean print_shared;
};

/* Returns false after it has printed a message if an option is invalid. */
bool load_options_parse(struct load_options *o, int argc, char **argv);
void load_options_clear(struct load_options *o);

#endif
