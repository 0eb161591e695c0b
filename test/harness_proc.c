#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "fakes/process.h"
#include "harness.h"

#define MAX_PIDS 64

/* A test program that runs longer is ended, with its child processes. */
#define PROGRAM_LIMIT_SEC 180

extern char **environ;

/* Child processes to kill when the test program ends; 0: unused slot. */
static volatile pid_t pids[MAX_PIDS];

static void
kill_all(void)
{
	int i;

	for (i = 0; i < MAX_PIDS; i++) {
		if (pids[i] > 0)
			kill(pids[i], SIGKILL);
	}
}

static void
on_signal(int sig)
{
	kill_all();
	signal(sig, SIG_DFL);
	raise(sig);
}

static void
install_cleanup(void)
{
	static bool installed;

	if (installed)
		return;
	installed = true;
	atexit(kill_all);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGALRM, on_signal);
	signal(SIGPIPE, SIG_IGN);
	alarm(PROGRAM_LIMIT_SEC);
}

static void
replace_pid(pid_t old, pid_t pid)
{
	int i;

	for (i = 0; i < MAX_PIDS; i++) {
		if (pids[i] == old) {
			pids[i] = pid;
			return;
		}
	}
}

const char *
proc_build_dir(void)
{
	static char dir[512];
	ssize_t n;
	char *slash;
	int up;

	if (dir[0] != '\0')
		return dir;
	n = readlink("/proc/self/exe", dir, sizeof(dir) - 1);
	assert_true(n > 0);
	dir[n] = '\0';
	for (up = 0; up < 2; up++) {
		slash = strrchr(dir, '/');
		assert_non_null(slash);
		*slash = '\0';
	}
	return dir;
}

void
proc_init(struct proc *p, const char *dir, const char *name, unsigned int port,
    char **argv)
{
	p->name = g_strdup(name);
	p->log = g_strdup_printf("%s/%s.log", dir, name);
	p->port = port;
	p->argv = argv;
}

void
proc_clear(struct proc *p)
{
	if (p->pid != 0)
		proc_kill(p);
	g_free(p->name);
	g_free(p->log);
	g_strfreev(p->argv);
	memset(p, 0, sizeof(*p));
}

void
proc_start(struct proc *p)
{
	posix_spawn_file_actions_t files;
	posix_spawnattr_t attr;
	sigset_t defaults;
	pid_t pid;
	int rc;

	install_cleanup();
	assert_int_equal(p->pid, 0);
	posix_spawn_file_actions_init(&files);
	posix_spawn_file_actions_addopen(
	    &files, STDOUT_FILENO, p->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
	/* SIGPIPE is ignored here, which a daemon must not inherit. */
	sigemptyset(&defaults);
	sigaddset(&defaults, SIGPIPE);
	posix_spawnattr_init(&attr);
	posix_spawnattr_setsigdefault(&attr, &defaults);
	posix_spawnattr_setflags(&attr, POSIX_SPAWN_SETSIGDEF);
	rc = posix_spawn(&pid, p->argv[0], &files, &attr, p->argv, environ);
	posix_spawnattr_destroy(&attr);
	posix_spawn_file_actions_destroy(&files);
	assert_int_equal(rc, 0);
	p->pid = pid;
	p->frozen = false;
	replace_pid(0, pid);
}

static bool
answers(const struct proc *p)
{
	struct call_spec spec = {
	    .port = p->port, .method = "GET", .path = "/control"};
	struct call *c = call_run(&spec);
	bool ok = call_status(c) != 0;

	call_free(c);
	return ok;
}

void
proc_await(struct proc *p)
{
	await(answers(p));
}

static void
forget_pid(struct proc *p)
{
	replace_pid(p->pid, 0);
	p->pid = 0;
}

void
proc_kill(struct proc *p)
{
	assert_int_not_equal(p->pid, 0);
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	forget_pid(p);
}

void
proc_restart(struct proc *p)
{
	proc_kill(p);
	proc_start(p);
	proc_await(p);
}

/* Waits until a signal has taken effect, as delivery is asynchronous. */
static void
await_state(struct proc *p, int flag)
{
	siginfo_t info = {0};

	if (waitid(P_PID, (id_t)p->pid, &info, flag) != 0)
		fail_msg("waitid() for state %d of %s (%d): %s", flag, p->name,
		    (int)p->pid, strerror(errno));
}

void
proc_freeze(struct proc *p)
{
	kill(p->pid, SIGSTOP);
	await_state(p, WSTOPPED);
	p->frozen = true;
}

void
proc_thaw(struct proc *p)
{
	kill(p->pid, SIGCONT);
	await_state(p, WCONTINUED);
	p->frozen = false;
}

void
proc_terminate(struct proc *p)
{
	kill(p->pid, SIGTERM);
}

int
proc_join(struct proc *p)
{
	uint64_t until = jh_now() + AWAIT_USEC;
	int status = 0;
	pid_t got;

	while ((got = waitpid(p->pid, &status, WNOHANG)) == 0) {
		if (jh_now() > until) {
			print_error(
			    "%s did not stop before the timeout\n", p->name);
			proc_kill(p);
			return -1;
		}
		g_usleep(AWAIT_POLL_USEC);
	}
	forget_pid(p);
	return got > 0 && WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int
proc_stop(struct proc *p)
{
	proc_terminate(p);
	return proc_join(p);
}

bool
proc_has_ended(struct proc *p)
{
	int status;

	if (p->pid != 0 && waitpid(p->pid, &status, WNOHANG) == p->pid)
		forget_pid(p);
	return p->pid == 0;
}

long
proc_memory(const struct proc *p, const char *field)
{
	return fake_process_kb(p->pid, field);
}
