#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/clock.h>

/*
 * Runs the daemons and the fakes of their environment as processes on loopback.
 * Failed checks are cmocka assertions, so all functions must be called from the
 * thread of the test. See docs/testing.md.
 */

/* Timeout and poll interval of await(). */
#define AWAIT_USEC (30 * JH_USEC_PER_SEC)
#define AWAIT_POLL_USEC 5000

/* Polls a condition until it is true; the test fails at the timeout. */
#define await(cond)                                          \
	do {                                                 \
		uint64_t until_ = jh_now() + AWAIT_USEC;     \
		while (!(cond)) {                            \
			if (jh_now() > until_)               \
				fail_msg("timeout: " #cond); \
			g_usleep(AWAIT_POLL_USEC);           \
		}                                            \
	} while (0)

/* A process that may be started, stopped and started again. */
struct proc {
	char *name;
	char *log; /* path of the file with its output */
	unsigned int port;
	char **argv;
	pid_t pid; /* 0: not running */
	bool frozen; /* by proc_freeze() */
};

/* Copies dir and name; takes over argv. */
void proc_init(struct proc *p, const char *dir, const char *name,
    unsigned int port, char **argv);
/* Kills the process if it runs, and frees all members. */
void proc_clear(struct proc *p);
void proc_start(struct proc *p);
/* Waits until the process responds to HTTP requests. */
void proc_await(struct proc *p);
/* Sends SIGKILL and waits for the end. */
void proc_kill(struct proc *p);
/* Stops the process with SIGSTOP and continues it with SIGCONT. */
void proc_freeze(struct proc *p);
void proc_thaw(struct proc *p);
/* Kills the process, starts it again and waits until it responds. */
void proc_restart(struct proc *p);
/* proc_terminate() and proc_join(). */
int proc_stop(struct proc *p);
/* Sends SIGTERM. */
void proc_terminate(struct proc *p);
/*
 * Waits for the end. Returns the exit status, or -1 if a signal ended the
 * process or it had to be killed at the timeout.
 */
int proc_join(struct proc *p);
/* Whether the process has ended, as after a crash. */
bool proc_has_ended(struct proc *p);
/* A field such as "VmHWM:" of /proc/PID/status, in kB; -1: not known. */
long proc_memory(const struct proc *p, const char *field);
/* The build directory, which holds the programs. */
const char *proc_build_dir(void);

/* An event of a streamed response. */
struct event {
	char *id; /* NULL in the [DONE] event */
	char *data;
};

/* Parameters of an HTTP request. */
struct call_spec {
	unsigned int port;
	const char *method; /* NULL: POST */
	const char *path;
	const char *key; /* API key; NULL: none */
	const char *headers[12]; /* "Name: value" */
	const char *body;
	bool paused; /* does not read the body until call_resume() */
};

/* An HTTP request, run by a thread of its own. */
struct call;

/* Starts a request; free it with call_free(). */
struct call *call_start(const struct call_spec *spec);
/* call_start() and call_join(). */
struct call *call_run(const struct call_spec *spec);
/* Waits for the end, successful or not. */
void call_join(struct call *c);
/* Resumes reading, waits for the end and frees the call. */
void call_free(struct call *c);
bool call_ended(struct call *c);
/* Stops reading the response until call_resume(). */
void call_pause(struct call *c);
void call_resume(struct call *c);
/* Aborts the request and closes its connection. */
void call_disconnect(struct call *c);
/* Events received so far. */
guint call_event_count(struct call *c);
/* The functions below need a call that has ended. */
/* What curl says about the transfer, for messages of failed checks. */
const char *call_error(const struct call *c);
/* 0 without a response. */
unsigned int call_status(const struct call *c);
const char *call_header(const struct call *c, const char *name);
const char *call_body(const struct call *c);
/* Whether a complete HTTP response was received. */
bool call_complete(const struct call *c);
const GPtrArray *call_events(const struct call *c);
/*
 * The id of the last event that has one, or NULL; free with g_free(). May be
 * called before the end.
 */
char *call_last_id(struct call *c);

/* Checks the status of an error response and the fields code and ran. */
void check_error(
    struct call *c, unsigned int status, const char *code, const char *ran);

/* Parameters of a fixture. */
struct fixture_spec {
	unsigned int entries;
	unsigned int engines;
	unsigned int services;
	const char *engine_args[8]; /* additional options of fake-engine */
	const char *service_args[8]; /* the same of fake-service */
	const char *entry_settings; /* additional YAML lines, or NULL */
	bool defer_entries; /* the test calls fixture_start_entries() */
};

/* Most entry daemons, and most agents, of a fixture. */
#define FIXTURE_MAX 8

/*
 * Main function of a test program; its optional argument is a pattern of the
 * names of the tests to run.
 */
#define HARNESS_MAIN(tests)                                       \
	int main(int argc, char **argv)                           \
	{                                                         \
		if (argc > 1)                                     \
			cmocka_set_test_filter(argv[1]);          \
		return cmocka_run_group_tests(tests, NULL, NULL); \
	}

/*
 * A deployment under test: the fake store and instance list, entry daemons, and
 * agents with a fake engine or service each. Its files are in a temporary
 * directory, which is kept if JH_TEST_KEEP is set.
 */
struct fixture {
	char *dir;
	struct proc store;
	struct proc list;
	struct proc entry[FIXTURE_MAX];
	struct proc agent[FIXTURE_MAX];
	struct proc backend[FIXTURE_MAX]; /* of the agent with that index */
	unsigned int rpc_port[FIXTURE_MAX]; /* of the agents */
	unsigned int entry_rpc[FIXTURE_MAX];
	unsigned int entries;
	unsigned int engines;
	unsigned int agents; /* engines first, then services */
	bool listed[FIXTURE_MAX]; /* agents to be in the instance list */
	bool leaving[FIXTURE_MAX]; /* agents to be marked as leaving there */
	json_int_t probe_runs[FIXTURE_MAX]; /* calls run before the test */
};

/* The secret that all daemons share. */
#define FIXTURE_SECRET                     \
	"00112233445566778899aabbccddeeff" \
	"00112233445566778899aabbccddeeff"

/* Starts all processes and waits until they respond. */
struct fixture *fixture_create(const struct fixture_spec *spec);
void fixture_destroy(struct fixture *w);
/* Starts the entry daemons and waits until each serves a request. */
void fixture_start_entries(struct fixture *w);
/* Waits until the entry daemon serves a request. */
void fixture_await_entry(struct fixture *w, unsigned int entry);
/* Writes the members listed and leaving to the instance list. */
void fixture_publish_instances(struct fixture *w);
/* The index of the agent with this instance name, as in X-Worker. */
unsigned int fixture_agent(const struct fixture *w, const char *instance);

/* The state dump of the daemon with this RPC port; NULL if the call fails. */
json_t *daemon_dump(unsigned int rpc_port);
/* A counter of the state dump. */
json_int_t daemon_counter(unsigned int rpc_port, const char *name);
/* Whether the agent is a member for the entry daemon, and not leaving. */
bool entry_knows(struct fixture *w, unsigned int entry, unsigned int agent);

/* Access to the store over its protocol. */
void store_put(struct fixture *w, const char *key, const char *json);
void store_delete(struct fixture *w, const char *key);
/* Returns the HTTP status; value may be NULL; free *value with g_free(). */
unsigned int store_get(struct fixture *w, const char *key, char **value);
/* An organisation with the API key "key-NAME". */
void put_org(struct fixture *w, const char *name, bool disabled);
/* A class in the organisation's catalogue. */
void put_class(struct fixture *w, const char *org, const char *class_name,
    const char *kind, const char *models, bool idempotent);
/* A class of non-idempotent payments with this ttft_target_ms. */
void put_pay_class(struct fixture *w, const char *class_name, unsigned int ms);

/* Posts to /control of a fake. */
void control_set(struct proc *p, const char *json);
/* The JSON object at a path of a fake, or NULL. */
json_t *control_get(struct proc *p, const char *path);
/* An integer member of that object; the test fails if there is none. */
json_int_t control_integer(struct proc *p, const char *path, const char *name);

/* The body of a chat request with one message; free with g_free(). */
char *chat_body(const char *question, unsigned int tokens, bool stream);
/* Starts a chat request of organisation alpha; header may be NULL. */
struct call *chat_start(struct fixture *w, unsigned int entry, const char *body,
    const char *header);
/*
 * Sends a chat request for one token, checks the response and returns the index
 * of the worker that served it.
 */
unsigned int chat_ok(
    struct fixture *w, unsigned int entry, const char *question);
/* The status of the first response of an entry daemon that starts; 0: none. */
unsigned int first_status(
    struct fixture *w, unsigned int entry, const char *key);
/* The text that n tokens for the question must have; free with g_free(). */
char *chat_expected_text(
    struct fixture *w, const char *question, unsigned int n);
/*
 * Checks that the events of the calls, in sequence, are exactly the tokens 1 to
 * n, each once and in order, with this text and one [DONE] event at the end.
 */
void check_stream(struct call *const *calls, size_t n_calls, unsigned int n,
    const char *text);
/* The number of workers that served the stream, by the ids of its events. */
unsigned int stream_workers(const struct call *c);
/* Chat requests that the engine has received since its start. */
json_int_t engine_requests(struct fixture *w, unsigned int engine);
/* Sequences that run or wait on one engine, and on all that are running. */
json_int_t engine_load(struct fixture *w, unsigned int engine);
json_int_t engines_load(struct fixture *w);

/* Starts a payment of organisation alpha; key is its Idempotency-Key. */
struct call *pay_start(struct fixture *w, unsigned int entry, const char *key,
    const char *body, const char *header);
/* Waits for a payment and checks that it succeeded with this receipt. */
void check_receipt(struct call *c, const char *receipt);
/* The first agent whose service has run a call; the test fails if none has. */
unsigned int service_used(struct fixture *w);
/* control_set() for every service. */
void services_set(struct fixture *w, const char *json);
/* Calls that the services have run since the test began. */
json_int_t service_runs(struct fixture *w);
/* Checks the number of these runs, and that no body ran twice. */
void check_runs(struct fixture *w, json_int_t runs);

#endif
