#ifndef SOAK_PROCESS_H
#define SOAK_PROCESS_H

#include <stdbool.h>

#include <uv.h>

/* A child process, killed by its id at the end of the soak test. */
struct soak_process;

struct soak_process_ops {
	/* The child exited with status, or was ended by signal. */
	void (*ended)(void *arg, int status, int signal);
};

/* Copies argv; the child's output is appended to the file log. */
struct soak_process *soak_process_create(uv_loop_t *loop, char *const *argv,
    const char *log, const struct soak_process_ops *ops, void *arg);
/* Kills the child if it is running; ended() is not called. */
void soak_process_destroy(struct soak_process *p);

/* Returns 0 or a libuv error. */
int soak_process_start(struct soak_process *p);
bool soak_process_runs(const struct soak_process *p);
void soak_process_signal(struct soak_process *p, int signal);
/* Peak resident memory in kilobytes; 0 or less if unknown. */
long soak_process_memory(const struct soak_process *p);

#endif
