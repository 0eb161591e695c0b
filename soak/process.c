#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <glib.h>

#include "fakes/process.h"
#include "soak/process.h"

struct soak_process {
	uv_loop_t *loop;
	char **argv;
	char *log;
	const struct soak_process_ops *ops;
	void *arg;
	uv_process_t *child; /* NULL: not running */
};

struct soak_process *
soak_process_create(uv_loop_t *loop, char *const *argv, const char *log,
    const struct soak_process_ops *ops, void *arg)
{
	struct soak_process *p = g_new0(struct soak_process, 1);

	p->loop = loop;
	p->argv = g_strdupv((char **)argv);
	p->log = g_strdup(log);
	p->ops = ops;
	p->arg = arg;
	return p;
}

static void
on_closed(uv_handle_t *h)
{
	g_free(h);
}

static void
on_child_exit(uv_process_t *child, int64_t status, int signal)
{
	struct soak_process *p = child->data;

	uv_close((uv_handle_t *)child, on_closed);
	if (p == NULL)
		return;
	p->child = NULL;
	p->ops->ended(p->arg, (int)status, signal);
}

int
soak_process_start(struct soak_process *p)
{
	uv_process_options_t options = {0};
	uv_stdio_container_t stdio[3] = {0};
	int fd = open(p->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	int error;

	if (fd < 0)
		return -1;
	stdio[0].flags = UV_IGNORE;
	stdio[1].flags = stdio[2].flags = UV_INHERIT_FD;
	stdio[1].data.fd = stdio[2].data.fd = fd;
	options.file = p->argv[0];
	options.args = p->argv;
	options.exit_cb = on_child_exit;
	options.stdio = stdio;
	options.stdio_count = G_N_ELEMENTS(stdio);
	p->child = g_new0(uv_process_t, 1);
	p->child->data = p;
	error = uv_spawn(p->loop, p->child, &options);
	close(fd);
	if (error != 0) {
		uv_close((uv_handle_t *)p->child, on_closed);
		p->child = NULL;
	}
	return error;
}

bool
soak_process_runs(const struct soak_process *p)
{
	return p->child != NULL;
}

void
soak_process_signal(struct soak_process *p, int signal)
{
	if (p->child != NULL)
		uv_process_kill(p->child, signal);
}

long
soak_process_memory(const struct soak_process *p)
{
	return p->child != NULL ? fake_process_kb(p->child->pid, "VmHWM:") : 0;
}

void
soak_process_destroy(struct soak_process *p)
{
	if (p->child != NULL) {
		p->child->data = NULL;
		uv_process_kill(p->child, SIGKILL);
	}
	g_strfreev(p->argv);
	g_free(p->log);
	g_free(p);
}
