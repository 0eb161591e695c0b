#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "agent/settings.h"
#include "entry/reply.h"
#include "entry/settings.h"

/* The path is relative to the root of the source tree, where tests run. */
static char *
read_file(const char *path)
{
	char *text = NULL;

	assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

static void
assert_documented(const char *text, const char *format, const char *name)
{
	char *cell = g_strdup_printf(format, name);

	if (strstr(text, cell) == NULL)
		fail_msg("\"%s\" is not documented", name);
	g_free(cell);
}

/* docs/events.md must list every log event. */
static void
events_are_documented(void **state)
{
	char *header = read_file("src/base/event.h");
	char *page = read_file("docs/events.md");
	char *pos = header, number[16];
	int found = 0;

	while ((pos = strstr(pos, "JH_EV_")) != NULL) {
		if (sscanf(pos, "JH_EV_%*[A-Z_] = %15[0-9]", number) == 1) {
			assert_documented(page, "\n| %s |", number);
			found++;
		}
		pos++;
	}
	assert_true(found > 0);
	g_free(header);
	g_free(page);
}

/*
 * Checks that the page names each event that the file passes to jh_json_log().
 * Returns the number of events.
 */
static unsigned int
check_trace_events(const char *path, const char *page)
{
	char *text = read_file(path), *pos = text, name[64];
	unsigned int found = 0;

	while ((pos = strstr(pos, "jh_json_log(")) != NULL) {
		pos += strlen("jh_json_log(");
		if (sscanf(pos, "%*[^,],%*[ \n\t]\"%63[a-z_]\"", name) != 1)
			continue;
		assert_documented(page, "`%s`", name);
		found++;
	}
	g_free(text);
	return found;
}

/* docs/OPERATIONS.md must explain every trace event for engineers on call. */
static void
traces_are_documented(void **state)
{
	static const char *const dirs[] = {"src/gateway", "platform"};
	char *page = read_file("docs/OPERATIONS.md");
	unsigned int found = 0;
	const char *name;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(dirs); i++) {
		GDir *dir = g_dir_open(dirs[i], 0, NULL);
		assert_non_null(dir);
		while ((name = g_dir_read_name(dir)) != NULL) {
			char *path = g_build_filename(dirs[i], name, NULL);
			if (g_str_has_suffix(name, ".c"))
				found += check_trace_events(path, page);
			g_free(path);
		}
		g_dir_close(dir);
	}
	assert_true(found > 20);
	g_free(page);
}

/* docs/settings.md must list every setting. */
static void
settings_are_documented(void **state)
{
	const struct jh_setting *const tables[] = {
	    entry_settings_table, agent_settings_table};
	char *page = read_file("docs/settings.md");
	const struct jh_setting *s;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(tables); i++) {
		for (s = tables[i]; s->key != NULL; s++)
			assert_documented(page, "\n| `%s` |", s->key);
	}
	g_free(page);
}

/* docs/callers.md must list every error code that clients receive. */
static void
errors_are_documented(void **state)
{
	char *page = read_file("docs/callers.md");
	char code[64], *json;
	int i;

	for (i = 0; i < ENTRY_ERRORS; i++) {
		json =
		    entry_error_json((enum entry_error)i, ENTRY_NOT_RUN, NULL);
		assert_int_equal(
		    sscanf(json, "{\"error\":{\"code\":\"%63[a-z_]", code), 1);
		assert_documented(page, "\n| `%s` |", code);
		g_free(json);
	}
	g_free(page);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(events_are_documented),
	    cmocka_unit_test(traces_are_documented),
	    cmocka_unit_test(settings_are_documented),
	    cmocka_unit_test(errors_are_documented),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
