#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <netinet/in.h>

#include "base/auth.h"
#include "store/store.h"

/* Exit codes of jhctl; docs/operators.md lists them. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1, /* faults found, or the request was refused */
	CTL_USAGE = 2,
	CTL_CONFLICT = 3, /* another operator's edit came first */
	CTL_UNAVAILABLE = 4 /* no answer; an edit may have taken effect */
};

/* Returned by steps of a command that has not ended yet. */
#define CTL_GO_ON (-1)

struct ctl_settings {
	struct sockaddr_in store;
	struct jh_auth_key secret;
	struct sockaddr_in instance_list; /* port 0: not given */
};

/* One run of the tool. */
struct ctl {
	FILE *out;
	FILE *err;
	char *settings_path;
	struct ctl_settings settings;
	gboolean json;
	int timeout_ms;
	struct jh_store *store;
};

struct ctl_command {
	const char *name; /* one or two words */
	const char *args;
	const char *summary;
	/* args holds the command's arguments, without its name. */
	int (*run)(struct ctl *c, const struct ctl_command *self, char **args);
};

/* Runs the tool and returns its exit code. */
int ctl_main(int argc, char **argv, FILE *out, FILE *err);

/* The command groups; each table ends with a NULL name. */
extern const struct ctl_command ctl_check_commands[];
extern const struct ctl_command ctl_catalog_commands[];
extern const struct ctl_command ctl_control_commands[];
extern const struct ctl_command ctl_in_force_commands[];
extern const struct ctl_command ctl_instances_commands[];
extern const struct ctl_command ctl_refusals_commands[];
extern const struct ctl_command ctl_view_commands[];

/*
 * Parses the options of a command, which extra (may be NULL) adds to the
 * common ones, and leaves its operands, min to max of them, in *args. Returns
 * CTL_GO_ON, or the exit code after --help or a fault.
 */
int ctl_parse(struct ctl *c, const struct ctl_command *command,
    const GOptionEntry *extra, char ***args, guint min, guint max);

/* Reads an operand such as the example, or prints that it is no address. */
bool ctl_address(struct ctl *c, const char *text, const char *example,
    struct sockaddr_in *out);

/* Loads the settings; returns CTL_GO_ON or an exit code. */
int ctl_load_settings(struct ctl *c);
/* Loads the settings and opens the store client. */
int ctl_open_store(struct ctl *c);
/* Leaves the store's present revision; returns CTL_GO_ON or an exit code. */
int ctl_store_revision(struct ctl *c, uint64_t *revision);
/* The jh_now() time until which the present call may take. */
uint64_t ctl_deadline(const struct ctl *c);
/* Prints why a store call failed and returns the exit code. */
int ctl_store_failed(
    struct ctl *c, const char *what, enum jh_store_result result);

#endif
