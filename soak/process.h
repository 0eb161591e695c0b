#ifndef SOAK_PROCESS_H
#define SOAK_PROCESS_H

#include <stdbool.h>

#include <uv.h>

/* One child process; ended by its id when the soak ends. */
struct soak_process;

struct soak_process_ops {
	/* The child ended: its exit status, or the signal that ended it. */
	void (*ended)(void *arg, int status, int signal);
};

/* argv is copied; output goes to the end of the file at log. */
struct soak_process *soak_process_create(uv_loop_t *loop, char *const *argv,
    const char *log, const struct soak_process_ops *ops, void *arg);
/* Kills the child if it runs; ended() is not called. */
void soak_process_destroy(struct soak_process *p);

/* Returns 0 or a libuv error. */
int soak_process_start(struct soak_process *p);
bool soak_process_runs(const struct soak_process *p);
void soak_process_signal(struct soak_process *p, int signal);
/* Most resident memory in kilobytes; 0 or less if it is not known. */
long soak_process_memory(const struct soak_process *p);

#endif
