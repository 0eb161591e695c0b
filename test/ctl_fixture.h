#ifndef TEST_CTL_FIXTURE_H
#define TEST_CTL_FIXTURE_H

#include <netinet/in.h>

#include "../fakes/store/service.h"

#define KEY_HEX \
	"0101010101010101010101010101010101010101010101010101010101010101"

/* A store with nothing in it, and the tool's settings and results. */
struct ctl_fixture {
	struct fake_store *fake;
	char *dir;
	char *settings;
	char *file;
	char *out; /* of the last run */
	char *err;
};

int ctl_setup(void **state);
int ctl_teardown(void **state);

/* Runs the tool in this process with words split at spaces. */
int ctl_run(struct ctl_fixture *f, const char *command, const char *operand);
void ctl_write_entry(
    struct ctl_fixture *f, unsigned int version, unsigned int rate);
/* Applies text as a request to the store's control page. */
void ctl_control(struct ctl_fixture *f, const char *text);

struct sockaddr_in ctl_loopback(unsigned int port);

#endif
