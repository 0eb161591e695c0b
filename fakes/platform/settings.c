#include <glib.h>

#include "fakes/platform/settings.h"
#include "fakes/port.h"

bool
fake_router_settings_write(
    const char *path, const struct fake_router_settings *s)
{
	char *text = g_strdup_printf(
	    "name: \"%s\"\nzone: \"z0\"\nzones:\n  - name: \"z0\"\n"
	    "    region: \"r0\"\ngossip: \"127.0.0.1:%u\"\n"
	    "clients: \"127.0.0.1:%u\"\nreadiness: \"127.0.0.1:%u\"\n"
	    "metrics: \"127.0.0.1:%u\"\nstore: \"127.0.0.1:%u\"\n"
	    "memory_mb: %u\ndescriptors: 1000\ngrace_s: \"%u\"\n"
	    "repeat_ratio: \"0.2\"\nrepeat_slack: \"58\"\n"
	    "repeat_window_s: \"10\"\nholders_apart_ms: 500\n",
	    s->name, fake_port(), s->clients, s->readiness, s->metrics,
	    s->store, s->memory_mb != 0 ? s->memory_mb : 110, s->grace_sec);
	bool ok = g_file_set_contents(path, text, -1, NULL);

	g_free(text);
	return ok;
}
