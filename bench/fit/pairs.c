#include <string.h>

#include <jansson.h>

#include "bench/fit/pairs.h"

/* Times in the `sent` log line of a request, in microseconds. */
struct sent_times {
	double expected, waited;
};

static void
read_line(const char *line, GHashTable *sent, GArray *pairs)
{
	const char *at = strchr(line, '{');
	json_t *o =
	    at != NULL ? json_loads(at, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	const char *event = json_string_value(json_object_get(o, "event"));
	const char *id = json_string_value(json_object_get(o, "request"));
	json_int_t attempt = json_integer_value(json_object_get(o, "attempt"));
	json_int_t first_us =
	    json_integer_value(json_object_get(o, "first_us"));
	struct sent_times *s;
	struct fit_pair p;

	if (event != NULL && id != NULL && strcmp(event, "sent") == 0) {
		s = g_new0(struct sent_times, 1);
		s->expected = (double)json_integer_value(
		    json_object_get(o, "expected_us"));
		s->waited =
		    (double)json_integer_value(json_object_get(o, "waited_us"));
		if (attempt == 1)
			g_hash_table_replace(sent, g_strdup(id), s);
		else
			g_free(s);
		if (attempt > 1)
			g_hash_table_remove(sent, id);
	} else if (event != NULL && id != NULL && strcmp(event, "ended") == 0) {
		s = g_hash_table_lookup(sent, id);
		if (s != NULL && first_us > 0) {
			p.expected = s->expected;
			p.observed = (double)first_us - s->waited;
			g_array_append_val(pairs, p);
		}
		g_hash_table_remove(sent, id);
	}
	json_decref(o);
}

GArray *
fit_read(FILE *in)
{
	GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct fit_pair));
	GHashTable *sent =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, in) >= 0)
		read_line(line, sent, pairs);
	free(line);
	g_hash_table_destroy(sent);
	return pairs;
}
