#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fakes/process.h"

long
fake_process_kb(pid_t pid, const char *field)
{
	char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	gchar *text = NULL;
	const char *match = NULL;
	long kb = -1;

	if (g_file_get_contents(path, &text, NULL, NULL))
		match = strstr(text, field);
	if (match != NULL)
		kb = strtol(match + strlen(field), NULL, 10);
	g_free(text);
	g_free(path);
	return kb;
}
