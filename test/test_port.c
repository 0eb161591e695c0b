#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "fakes/port.h"

#define PROGRAMS 4
/* More than what one test program with several fixtures needs. */
#define PORTS 300

/* A program that chooses ports and ends when the test closes stop. */
struct program {
	pid_t pid;
	int ports; /* the program writes what it has chosen */
	int stop;
};

static void
choose_ports(int ports, int stop)
{
	unsigned int i, port;
	char end;

	for (i = 0; i < PORTS; i++) {
		port = fake_port();
		if (write(ports, &port, sizeof(port)) != sizeof(port))
			_exit(1);
	}
	_exit(read(stop, &end, 1) == 0 ? 0 : 1);
}

static void
start_program(struct program *p, struct program *earlier, int n)
{
	int ports[2], stop[2];

	assert_int_equal(pipe(ports), 0);
	assert_int_equal(pipe(stop), 0);
	p->pid = fork();
	assert_true(p->pid >= 0);
	if (p->pid == 0) {
		while (n-- > 0)
			close(earlier[n].stop);
		close(stop[1]);
		choose_ports(ports[1], stop[0]);
	}
	close(ports[1]);
	close(stop[0]);
	p->ports = ports[0];
	p->stop = stop[1];
}

static void
stop_program(struct program *p)
{
	int status = -1;

	close(p->stop);
	close(p->ports);
	assert_int_equal(waitpid(p->pid, &status, 0), p->pid);
	assert_int_equal(status, 0);
}

/*
 * Guards against "Address already in use": a port chosen by one program and not
 * listened on yet was chosen by another program that ran at the same time.
 */
static void
programs_choose_different_ports(void **state)
{
	static bool chosen[UINT16_MAX + 1];
	struct program programs[PROGRAMS];
	unsigned int port, n, same = 0;
	int i;

	for (i = 0; i < PROGRAMS; i++)
		start_program(&programs[i], programs, i);
	for (i = 0; i < PROGRAMS; i++) {
		for (n = 0; n < PORTS; n++) {
			assert_int_equal(
			    read(programs[i].ports, &port, sizeof(port)),
			    sizeof(port));
			assert_in_range(port, 1, UINT16_MAX);
			same += chosen[port];
			chosen[port] = true;
		}
	}
	for (i = 0; i < PROGRAMS; i++)
		stop_program(&programs[i]);
	assert_int_equal(same, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(programs_choose_different_ports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
