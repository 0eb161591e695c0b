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
	CTL_FAILED = 1, /* the check found errors, or the request was refused */
	CTL_USAGE = 2,
	CTL_CONFLICT = 3, /* the object was changed since it was read */
	CTL_UNAVAILABLE = 4 /* no response; an edit may have taken effect */
};

/* Returned by a step of a command on success: the command goes on. */
#define CTL_CONTINUE (-1)

struct ctl_settings {
	struct sockaddr_in store;
	struct jh_auth_key secret;
	struct sockaddr_in instance_list; /* port 0: not given */
};

/* The state of one run of the tool. */
struct ctl {
	FILE *out;
	FILE *err;
	char *settings_path;
	struct ctl_settings settings;
	gboolean json;
	int timeout_ms; /* of one request */
	struct jh_store *store; /* NULL until ctl_open_store() */
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

/* The commands, in one table a source file; each ends with a NULL name. */
extern const struct ctl_command ctl_check_commands[];
extern const struct ctl_command ctl_catalog_commands[];
extern const struct ctl_command ctl_control_commands[];
extern const struct ctl_command ctl_in_force_commands[];
extern const struct ctl_command ctl_instances_commands[];
extern const struct ctl_command ctl_refusals_commands[];
extern const struct ctl_command ctl_view_commands[];

/*
 * Parses the common options and those in extra, which may be NULL. Replaces
 * *args by the operands, of which there must be min to max; free them with
 * g_strfreev(). Returns CTL_CONTINUE, or an exit code after --help or an error.
 */
int ctl_parse_options(struct ctl *c, const struct ctl_command *command,
    const GOptionEntry *extra, char ***args, guint min, guint max);

/* Parses an address; on failure it prints an error that shows the example. */
bool ctl_parse_address(struct ctl *c, const char *text, const char *example,
    struct sockaddr_in *out);

/* Loads the settings; returns CTL_CONTINUE or an exit code. */
int ctl_load_settings(struct ctl *c);
/* Loads the settings and creates the store client; returns like the above. */
int ctl_open_store(struct ctl *c);
/* Reads the store's present revision; returns CTL_CONTINUE or an exit code. */
int ctl_store_revision(struct ctl *c, uint64_t *revision);
/* Returns the deadline of a request that starts now, as a jh_now() time. */
uint64_t ctl_deadline(const struct ctl *c);
/* Prints why a store request failed and returns the exit code. */
int ctl_print_store_error(
    struct ctl *c, const char *what, enum jh_store_result result);

#endif
