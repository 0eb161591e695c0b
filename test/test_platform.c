#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "ctl/ctl.h"
#include "platform_world.h"

#define KEYED                                           \
	"X-Jacinthhill-Attempt-Id: a1\r\n"              \
	"X-Jacinthhill-Model: m1\r\n"                   \
	"X-Jacinthhill-Token-Counts: 100,10\r\n"        \
	"X-Jacinthhill-Deadline-Milliseconds: 3000\r\n" \
	"Api-Key: k1\r\n"

static struct platform *p;

static int
set_up(void **state)
{
	p = platform_start();
	return 0;
}

static int
tear_down(void **state)
{
	platform_stop(p);
	return 0;
}

static void
set_all(enum fake_worker_mode mode)
{
	unsigned int i;

	for (i = 0; i < PLATFORM_WORKERS; i++)
		platform_set_mode(p, i, mode);
}

static unsigned int
all_runs(void)
{
	unsigned int n = 0, i;

	for (i = 0; i < PLATFORM_WORKERS; i++)
		n += platform_runs(p, i);
	return n;
}

/* Asks and checks the status; returns the answer. */
static char *
ask(const char *method, const char *path, const char *fields,
    unsigned int status)
{
	char *answer = platform_ask(p, method, path, fields);

	if (answer_status(answer) != status)
		fail_msg("%s %s: not %u but: %s", method, path, status, answer);
	return answer;
}

/* Guards against a path that is broken from one end to the other. */
static void
request_reaches_a_worker(void **state)
{
	char *answer = ask("GET", "/again/x?y=1", KEYED, 200);
	char *head = platform_last_head(p);

	assert_non_null(strstr(answer, "done"));
	assert_non_null(strstr(answer, "X-Jacinthhill-Response-Seal: w"));
	assert_non_null(strstr(answer, ".a1\r\n"));
	assert_non_null(strstr(head, "X-Jacinthhill-Tenant: t1"));
	assert_null(strstr(head, "Api-Key"));
	assert_non_null(strstr(head, "X-Jacinthhill-Cache-Salt: m1/1/t1"));
	g_free(answer);
	g_free(head);
	g_free(ask("GET", "/public/x", "X-Jacinthhill-Model: m1\r\n", 200));
}

/* Guards against an entry that was removed by mistake and stays so. */
static void
removed_entry_comes_back(void **state)
{
	json_t *spec;

	await((spec = platform_get(p, "entries", "e1")) != NULL);
	json_decref(spec);
	platform_remove(p, "entries", "e1");
	await((spec = platform_get(p, "entries", "e1")) != NULL);
	json_decref(spec);
}

static void *
ask_silent_worker(void *arg)
{
	g_free(platform_ask(
	    p, "POST", "/once/slow", KEYED "Content-Length: 0\r\n"));
	return NULL;
}

/*
 * Guards against a process that takes a request which it cannot finish before
 * its end, and then cuts it.
 */
static void
stopping_process_refuses_what_it_cannot_finish(void **state)
{
	static const char fields[] =
	    "X-Jacinthhill-Attempt-Id: a2\r\n"
	    "X-Jacinthhill-Model: m1\r\n"
	    "X-Jacinthhill-Token-Counts: 100,100000\r\n"
	    "Api-Key: k1\r\n"
	    "Content-Length: 0\r\n";
	struct proc *entry = platform_entry(p);
	GThread *slow;
	char *answer;

	set_all(WORKER_SILENT);
	slow = g_thread_new("slow", ask_silent_worker, NULL);
	await(all_runs() == 1);
	set_all(WORKER_ANSWERS);
	proc_terminate(entry);
	/* The balancer is given two and a half seconds to notice. */
	g_usleep(2700000);
	answer = ask("POST", "/stream/long", fields, 503);
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_int_equal(all_runs(), 1);
	g_free(answer);
	g_thread_join(slow);
	assert_int_equal(proc_join(entry), 0);
}

/* What the tool prints about the entry; free with free(). */
static char *
view(const char *option, int status)
{
	char address[32], *text = NULL;
	char *argv[] = {"jhctl", "view", address, (char *)option, NULL};
	size_t len;
	FILE *out = open_memstream(&text, &len);

	g_snprintf(
	    address, sizeof(address), "127.0.0.1:%u", platform_metrics_port(p));
	assert_int_equal(
	    ctl_main(option != NULL ? 4 : 3, argv, out, stderr), status);
	fclose(out);
	return text;
}

/* Guards against a tool that does not show why a worker gets no work. */
static void
tool_shows_what_the_entry_believes(void **state)
{
	char *text = view(NULL, CTL_OK);

	assert_non_null(strstr(text, "e1"));
	assert_non_null(strstr(text, "3/3"));
	free(text);
	platform_remove(p, "servers", "w2");
	platform_put(p, "servers", "w1",
	    json_pack("{s:s, s:s, s:s, s:i, s:s, s:[{s:s, s:i}], s:i}",
		"service", "llm", "address", "127.0.0.1:9", "zone", "z0",
		"slots", 8, "state", "draining", "models", "name", "m1",
		"version", 1, "sequence", 1));
	g_usleep(800000);
	text = view(NULL, CTL_OK);
	assert_non_null(strstr(text, "1/2"));
	assert_non_null(strstr(text, "w1: leaving"));
	free(text);
	text = view("--json", CTL_OK);
	assert_non_null(strstr(text, "\"config_version\":1"));
	free(text);
	proc_kill(platform_entry(p));
	free(view(NULL, CTL_UNAVAILABLE));
}

/* Guards against requests that no configuration allows. */
static void
strangers_are_turned_away(void **state)
{
	g_free(ask("GET", "/nowhere/x", KEYED, 404));
	g_free(ask("GET", "/again/x", "Api-Key: k9\r\n", 401));
	g_free(ask("GET", "/again/x", "", 401));
	assert_int_equal(all_runs(), 0);
}

/* Guards against a second run, and against "not run" after a first one. */
static void
broken_request_runs_once(void **state)
{
	set_all(WORKER_BREAKS);
	g_free(ask("POST", "/once/x", KEYED "Content-Length: 0\r\n", 502));
	assert_int_equal(all_runs(), 1);
}

/* Guards against refusals that could have been avoided. */
static void
declined_request_goes_elsewhere(void **state)
{
	platform_set_mode(p, 0, WORKER_DECLINES);
	platform_set_mode(p, 1, WORKER_DECLINES);
	g_free(ask("POST", "/once/x", KEYED "Content-Length: 0\r\n", 200));
	assert_int_equal(platform_runs(p, 2), 1);
}

/* Guards against refusals without a time to come back. */
static void
refusal_is_true_and_tells_when(void **state)
{
	char *answer;

	set_all(WORKER_DECLINES);
	answer = ask("POST", "/once/x", KEYED "Content-Length: 0\r\n", 503);
	assert_non_null(strstr(answer, "Retry-After: "));
	assert_int_equal(all_runs(), 0);
	g_free(answer);
}

/* Guards against an answer of nobody's that is given as a success. */
static void
unsealed_success_is_no_success(void **state)
{
	set_all(WORKER_UNSEALED);
	g_free(ask("GET", "/again/x", KEYED, 502));
	assert_int_equal(all_runs(), 2);
}

/* Guards against a worker's own failure that is replaced. */
static void
failure_is_passed_on(void **state)
{
	char *answer;

	set_all(WORKER_FAILS);
	answer = ask("POST", "/once/x", KEYED "Content-Length: 0\r\n", 500);
	assert_non_null(strstr(answer, "broken"));
	assert_int_equal(all_runs(), 1);
	g_free(answer);
}

/* Guards against a resumed stream with a piece missing, twice or torn. */
static void
broken_stream_goes_on(void **state)
{
	char *answer, id[16];
	const char *at;
	int i;

	set_all(WORKER_BREAKS_STREAM);
	answer = ask("POST", "/stream/x", KEYED "Content-Length: 0\r\n", 200);
	at = answer;
	for (i = 1; i <= 6 && at != NULL; i++) {
		g_snprintf(id, sizeof(id), "id: %d\n", i);
		at = strstr(at, id);
		if (at == NULL)
			fail_msg("event %d is missing: %s", i, answer);
		else
			assert_null(strstr(at + 1, id));
	}
	assert_true(at != NULL && strstr(at, "0\r\n\r\n") != NULL);
	g_free(answer);
}

/* Guards against a client that waits beyond its route's time. */
static void
silence_ends_at_the_deadline(void **state)
{
	uint64_t before = jh_now();

	set_all(WORKER_SILENT);
	g_free(ask("POST", "/once/x", KEYED "Content-Length: 0\r\n", 504));
	assert_true(jh_now() - before < 3500000);
}

/* Guards against keys that stay in force. */
static void
revoked_key_is_refused(void **state)
{
	char *answer;
	unsigned int status;

	g_free(ask("GET", "/again/x", KEYED, 200));
	platform_revoke(p, 2);
	await((answer = platform_ask(p, "GET", "/again/x", KEYED),
	    status = answer_status(answer), g_free(answer), status == 401));
	/* An older version changes nothing. */
	platform_revoke(p, 1);
	g_free(ask("GET", "/again/x",
	    "X-Jacinthhill-Attempt-Id: a2\r\nX-Jacinthhill-Model: m1\r\n"
	    "Api-Key: k2\r\n",
	    200));
}

/* Guards against new weights that never come, or stop the service. */
static void
named_weights_come_into_force(void **state)
{
	unsigned int i;

	platform_name_weights(p, 2);
	for (i = 0; i < PLATFORM_WORKERS; i++) {
		await(platform_weights(p, i) == 2);
		g_free(ask("GET", "/again/x", KEYED, 200));
	}
	assert_int_equal(platform_orders(p), PLATFORM_WORKERS);
}

/* Guards against a service that ends with the store, and forgotten workers. */
static void
service_outlives_the_store(void **state)
{
	platform_set_store_status(p, 503);
	g_usleep(1500000);
	g_free(ask("GET", "/again/x", KEYED, 200));
	platform_set_store_status(p, 0);
	platform_remove(p, "servers", "w0");
	platform_remove(p, "servers", "w1");
	platform_set_mode(p, 2, WORKER_DECLINES);
	/* They may have lapsed by mistake, but not for ever. */
	await(({
		unsigned int before = all_runs();
		char *answer = platform_ask(p, "GET", "/again/x", KEYED);
		unsigned int status = answer_status(answer);
		g_free(answer);
		status == 503 && all_runs() == before;
	}));
}

/* Guards against entries of other writers. */
static void
unreadable_objects_change_nothing(void **state)
{
	platform_put(p, "servers", "x1", json_string("nonsense"));
	platform_put(p, "servers", "x2", json_pack("{s:i}", "service", 7));
	platform_put(p, "config", "main", json_pack("{s:s}", "version", "9"));
	g_usleep(800000);
	g_free(ask("GET", "/again/x", KEYED, 200));
}

/* Guards against a stop that cuts requests off. */
static void
stop_finishes_what_runs(void **state)
{
	proc_terminate(platform_entry(p));
	g_usleep(300000);
	g_free(ask("GET", "/again/x", KEYED, 200));
	assert_int_equal(proc_join(platform_entry(p)), 0);
}

/* Guards against a process that starts with half of its settings. */
static void
faulty_settings_end_the_start(void **state)
{
	const char *build = getenv("BUILD");
	char *command = g_strdup_printf(
	    "printf 'name: \"e\"\\n' >/tmp/jh-faulty.yaml; "
	    "%s/jhplatform /tmp/jh-faulty.yaml 2>&1 | grep -q 'store'",
	    build != NULL ? build : "build");

	assert_int_equal(system(command), 0);
	g_free(command);
}

#define ON_PLATFORM(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    ON_PLATFORM(request_reaches_a_worker),
	    ON_PLATFORM(tool_shows_what_the_entry_believes),
	    ON_PLATFORM(removed_entry_comes_back),
	    ON_PLATFORM(stopping_process_refuses_what_it_cannot_finish),
	    ON_PLATFORM(strangers_are_turned_away),
	    ON_PLATFORM(broken_request_runs_once),
	    ON_PLATFORM(declined_request_goes_elsewhere),
	    ON_PLATFORM(refusal_is_true_and_tells_when),
	    ON_PLATFORM(unsealed_success_is_no_success),
	    ON_PLATFORM(failure_is_passed_on),
	    ON_PLATFORM(broken_stream_goes_on),
	    ON_PLATFORM(silence_ends_at_the_deadline),
	    ON_PLATFORM(revoked_key_is_refused),
	    ON_PLATFORM(named_weights_come_into_force),
	    ON_PLATFORM(service_outlives_the_store),
	    ON_PLATFORM(unreadable_objects_change_nothing),
	    ON_PLATFORM(stop_finishes_what_runs),
	    cmocka_unit_test(faulty_settings_end_the_start),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
