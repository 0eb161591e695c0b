#ifndef CONFIG_START_H
#define CONFIG_START_H

#include <signal.h>
#include <stdbool.h>

#include "config/settings.h"

/* Exit statuses of the daemons; docs/operators.md lists them too. */
#define JH_EXIT_SETTINGS 2
#define JH_EXIT_START 3

/*
 * First step of a daemon's main(): sets up the log, reads --settings FILE into
 * out as the table describes, initializes libsodium, ignores SIGPIPE, and sets
 * *stop to SIGTERM and SIGINT, which it blocks. Returns 0, or the status to
 * exit with. Faults of the command line and the settings have then been
 * printed.
 */
int jh_daemon_start(int argc, char **argv, const char *program,
    const char *summary, const struct jh_setting *table, void *out,
    sigset_t *stop);

/* Waits up to msec milliseconds for a signal of the set; true if one came. */
bool jh_daemon_wait_stop(const sigset_t *stop, long msec);

#endif
