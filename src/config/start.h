#ifndef CONFIG_START_H
#define CONFIG_START_H

#include <signal.h>
#include <stdbool.h>

#include "config/settings.h"

/* Exit statuses of the daemons, also in docs/operators.md. */
#define JH_EXIT_SETTINGS 2
#define JH_EXIT_START 3

/*
 * What both daemons do first: starts the log, reads --settings FILE into out
 * by the table, initializes libsodium, ignores SIGPIPE and blocks the stop
 * signals of the set. Returns 0, or the status to exit with once the faults
 * have been printed.
 */
int jh_daemon_start(int argc, char **argv, const char *program,
    const char *summary, const struct jh_setting *table, void *out,
    sigset_t *stop);

/* Waits for a stop signal for msec at most; true when it has come. */
bool jh_daemon_stopped(const sigset_t *stop, long msec);

#endif
