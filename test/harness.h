#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/clock.h>

/*
 * Runs the daemons and the stand-ins as processes on loopback. Failed checks
 * are cmocka assertions, so call everything from the test's own thread. See
 * docs/testing.md.
 */

/* A condition that is not met by then has failed. */
#define AWAIT_USEC (30 * JH_USEC_PER_SEC)
#define AWAIT_POLL_USEC 5000

/* Waits for a condition; the test fails if it stays false. */
#define await(cond)                                        \
	do {                                               \
		uint64_t until_ = jh_now() + AWAIT_USEC;   \
		while (!(cond)) {                          \
			if (jh_now() > until_)             \
				fail_msg("never: " #cond); \
			g_usleep(AWAIT_POLL_USEC);         \
		}                                          \
	} while (0)

/* One process, running or not. */
struct proc {
	char *name;
	char *log; /* path of its output */
	unsigned int port;
	char **argv;
	pid_t pid; /* 0: not running */
	bool frozen;
};

void proc_init(struct proc *p, const char *dir, const char *name,
    unsigned int port, char **argv);
void proc_clear(struct proc *p);
void proc_start(struct proc *p);
/* Returns once the process answers HTTP. */
void proc_await(struct proc *p);
void proc_kill(struct proc *p);
void proc_freeze(struct proc *p);
void proc_thaw(struct proc *p);
/* Kills it and starts it again, with a new incarnation. */
void proc_restart(struct proc *p);
/* Sends SIGTERM and returns the exit status, -1 for any other end. */
int proc_stop(struct proc *p);
void proc_terminate(struct proc *p);
int proc_join(struct proc *p);
/* Whether it has ended by itself, as after a crash. */
bool proc_has_ended(struct proc *p);
/* A figure in kB from the process's status, such as "VmHWM:". */
long proc_memory(const struct proc *p, const char *field);
/* The folder of the test program's binaries. */
const char *proc_build_dir(void);

/* One event of a streamed answer. */
struct event {
	char *id; /* NULL for the end marker */
	char *data;
};

struct call_spec {
	unsigned int port;
	const char *method; /* NULL: POST */
	const char *path;
	const char *key; /* API key, or NULL */
	const char *headers[12]; /* "Name: value" */
	const char *body;
	bool held; /* reads nothing of the body until call_release() */
};

/* One HTTP request, driven by a thread of its own. */
struct call;

struct call *call_start(const struct call_spec *spec);
/* The same, waiting for the end. */
struct call *call_run(const struct call_spec *spec);
void call_join(struct call *c);
/* Waits for the end, whatever it is. */
void call_free(struct call *c);
bool call_ended(struct call *c);
/* Stops reading until call_release(). */
void call_hold(struct call *c);
void call_release(struct call *c);
/* Closes the connection. */
void call_leave(struct call *c);
guint call_event_count(struct call *c);
/* These are for calls that have ended. */
unsigned int call_status(const struct call *c);
const char *call_header(const struct call *c, const char *name);
const char *call_body(const struct call *c);
/* Whether the reply arrived in full as far as HTTP can tell. */
bool call_complete(const struct call *c);
const GPtrArray *call_events(const struct call *c);
/* The id of the last event with one, or NULL; also before the end. */
char *call_last_id(struct call *c);

/* Checks status, code and the field ran of an error. */
void check_error(
    struct call *c, unsigned int status, const char *code, const char *ran);

struct world_spec {
	unsigned int entries;
	unsigned int engines;
	unsigned int services;
	const char *engine_args[8]; /* further options of fake-engine */
	const char *entry_settings; /* further YAML lines, or NULL */
	bool entries_later; /* world_start_entries() is called by the test */
};

#define WORLD_MAX 8

/*
 * The main function of a test program; its argument is a pattern of the tests
 * to run.
 */
#define HARNESS_MAIN(tests)                                       \
	int main(int argc, char **argv)                           \
	{                                                         \
		if (argc > 1)                                     \
			cmocka_set_test_filter(argv[1]);          \
		return cmocka_run_group_tests(tests, NULL, NULL); \
	}

/* A deployment: one store, one instance list, entry daemons and agents. */
struct world {
	char *dir;
	struct proc store;
	struct proc list;
	struct proc entry[WORLD_MAX];
	struct proc agent[WORLD_MAX];
	struct proc backend[WORLD_MAX]; /* of the agent with that index */
	unsigned int rpc_port[WORLD_MAX]; /* of the agents */
	unsigned int entry_rpc[WORLD_MAX];
	unsigned int entries;
	unsigned int engines;
	unsigned int agents; /* engines first, then services */
	bool listed[WORLD_MAX]; /* agents in the instance list */
	bool leaving[WORLD_MAX]; /* as marked there */
	json_int_t probed[WORLD_MAX]; /* calls run before the test began */
};

#define WORLD_SECRET                       \
	"00112233445566778899aabbccddeeff" \
	"00112233445566778899aabbccddeeff"

struct world *world_create(const struct world_spec *spec);
void world_destroy(struct world *w);
void world_start_entries(struct world *w);
/* Waits until the entry daemon serves a request. */
void world_await_entry(struct world *w, unsigned int entry);
/* Publishes listed and leaving in the instance list. */
void world_publish(struct world *w);
/* The agent with that instance name, as in X-Worker. */
unsigned int world_agent(const struct world *w, const char *instance);

/* The state dump of a daemon by its RPC port; NULL without an answer. */
json_t *daemon_dump(unsigned int rpc_port);
/* A counter of that dump. */
json_int_t daemon_counter(unsigned int rpc_port, const char *name);
/* Whether the entry daemon knows the agent, and not as leaving. */
bool entry_knows(struct world *w, unsigned int entry, unsigned int agent);

/* Store access over its protocol. */
void store_put(struct world *w, const char *key, const char *json);
void store_delete(struct world *w, const char *key);
/* Returns the HTTP status; the value may be NULL. */
unsigned int store_get(struct world *w, const char *key, char **value);
void put_org(struct world *w, const char *name, bool disabled);
void put_class(struct world *w, const char *org, const char *class_name,
    const char *kind, const char *models, bool idempotent);
/* A class of payments with a deadline of its own, in milliseconds. */
void put_pay_class(struct world *w, const char *class_name, unsigned int ms);

/* The control pages of the stand-ins. */
void control_set(struct proc *p, const char *json);
json_t *control_get(struct proc *p, const char *path);
/* One integer of a control page. */
json_int_t control_figure(struct proc *p, const char *path, const char *name);

/* A chat body; free with g_free(). */
char *chat_body(const char *question, unsigned int tokens, bool stream);
/* Starts one chat request of organisation alpha. */
struct call *chat_start(
    struct world *w, unsigned int entry, const char *body, const char *header);
/*
 * Asks for one token and returns the worker's number, once status and answer
 * are found to be right.
 */
unsigned int chat_ok(struct world *w, unsigned int entry, const char *question);
/* The status of the first answer that a starting entry daemon gives. */
unsigned int first_status(struct world *w, unsigned int entry, const char *key);
/* The text of an answer without failures; free with g_free(). */
char *chat_reference(struct world *w, const char *question, unsigned int n);
/*
 * Checks that the events of the calls, one after the other, are exactly the
 * tokens 1 to n, each once, in order, with this text and one end marker.
 */
void check_stream(struct call *const *calls, size_t n_calls, unsigned int n,
    const char *text);
/* How many workers took part, by the ids of the events. */
unsigned int stream_workers(const struct call *c);
/* Chat requests that have reached the engine since its start. */
json_int_t engine_requests(struct world *w, unsigned int engine);
/* Language requests that run or wait on an engine. */
json_int_t engine_load(struct world *w, unsigned int engine);
json_int_t engines_load(struct world *w);

/* Starts one payment of organisation alpha. */
struct call *pay_start(struct world *w, unsigned int entry, const char *key,
    const char *body, const char *header);
/* Checks a payment that succeeded with this receipt. */
void check_receipt(struct call *c, const char *receipt);
/* The agent whose service has run a call; the test fails if none has. */
unsigned int service_used(struct world *w);
/* Sets the control page of every service. */
void services_set(struct world *w, const char *json);
/* Runs of service calls since the test began. */
json_int_t service_runs(struct world *w);
/* Checks the number of runs, and that no body ran twice. */
void check_runs(struct world *w, json_int_t runs);

#endif
