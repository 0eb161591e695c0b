#include <string.h>

#include "ctl/ctl.h"

#define DEFAULT_TIMEOUT_MS 5000

static const struct ctl_command *const groups[] = {ctl_check_commands,
    ctl_catalog_commands, ctl_control_commands, ctl_in_force_commands,
    ctl_instances_commands, ctl_refusals_commands, ctl_view_commands};

static void
print_usage(FILE *f)
{
	const struct ctl_command *command;
	size_t i;

	fputs("usage: jhctl COMMAND [OPTION...]\n\n", f);
	for (i = 0; i < G_N_ELEMENTS(groups); i++) {
		for (command = groups[i]; command->name != NULL; command++)
			fprintf(f, "  %-16s %-20s %s\n", command->name,
			    command->args, command->summary);
	}
	fputs("\nRun a command with --help for its options.\n", f);
}

/* Returns the number of words of the command's name, 0 if argv has another. */
static int
match_name(const struct ctl_command *command, char **argv)
{
	char **words = g_strsplit(command->name, " ", -1);
	int i;

	for (i = 0; words[i] != NULL; i++) {
		if (g_strcmp0(words[i], argv[i]) != 0)
			break;
	}
	if (words[i] != NULL)
		i = 0;
	g_strfreev(words);
	return i;
}

static int
run(struct ctl *c, const struct ctl_command *command, char **args)
{
	int status = command->run(c, command, args);

	jh_store_destroy(c->store);
	g_free(c->settings_path);
	return status;
}

int
ctl_main(int argc, char **argv, FILE *out, FILE *err)
{
	struct ctl c = {
	    .out = out, .err = err, .timeout_ms = DEFAULT_TIMEOUT_MS};
	const struct ctl_command *command;
	size_t i;
	int words;

	for (i = 0; argc > 1 && i < G_N_ELEMENTS(groups); i++) {
		for (command = groups[i]; command->name != NULL; command++) {
			words = match_name(command, argv + 1);
			if (words > 0)
				return run(&c, command, argv + 1 + words);
		}
	}
	if (argc > 1 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		print_usage(out);
		return CTL_OK;
	}
	print_usage(err);
	return CTL_USAGE;
}
