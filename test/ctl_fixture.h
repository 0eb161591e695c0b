#ifndef TEST_CTL_FIXTURE_H
#define TEST_CTL_FIXTURE_H

#include <netinet/in.h>

#include "../fakes/store/service.h"

#define KEY_HEX \
	"0101010101010101010101010101010101010101010101010101010101010101"

/* An empty fake store, and the files and last output of the tool. */
struct ctl_fixture {
	struct fake_store *fake;
	char *dir; /* of the two files */
	char *settings; /* path of the settings file */
	char *file; /* path of the catalogue file */
	char *out; /* of the last run */
	char *err;
};

int ctl_setup(void **state);
int ctl_teardown(void **state);

/*
 * Runs the tool in this process and returns its exit code. The command is split
 * into arguments at spaces; operand may be NULL.
 */
int ctl_run(struct ctl_fixture *f, const char *command, const char *operand);
/* Writes a catalogue entry to the fixture's file. */
void ctl_write_entry(
    struct ctl_fixture *f, unsigned int version, unsigned int rate);
/* Sends the JSON in text to the fake store, as its /control page accepts it. */
void ctl_control(struct ctl_fixture *f, const char *text);

/* Returns the loopback address with the port. */
struct sockaddr_in ctl_loopback(unsigned int port);

#endif
