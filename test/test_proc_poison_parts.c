#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <jacinthhill/suspects.h>

#include "harness.h"

#define MARKER "petal-of-death"
#define POISON_PART "Measure the " MARKER " first."
#define SHARED_PART "You answer guests of a bath house."
#define SOUND_PART "The baths open at seven."

/* Most engines that requests with the part may crash. */
#define MAX_CRASHES 5
#define REQUESTS 12
#define REPEATS 6
#define PAUSE_USEC (500 * JH_USEC_PER_MSEC)

/*
 * Once this many engines have crashed, daemons have this long to tell each
 * other, and this many more requests may reach an engine later.
 */
#define KNOWN_CRASHES 5
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define MAX_LATE_CRASHES 3

/* End of a body in the message of a failed check, in bytes. */
#define SHOWN_BYTES 300

/* Streams that engines run beside the cause of a crash. */
#define STREAMS 8
#define POISON_REQUESTS 3
#define STREAM_TOKENS 400
#define MIDDLE 20

/* The continuous load. */
#define INTERVAL_USEC (250 * JH_USEC_PER_MSEC)
#define RESTART_USEC (1 * JH_USEC_PER_SEC)
#define LOAD_USEC (16 * JH_USEC_PER_SEC)
#define MAX_CALLS 128
#define MAX_CRASH_TIMES 256

/* The messages of a prompt before the last one, which always differs. */
struct parts {
	const char *first;
	const char *second;
};

static const struct parts poison_first = {POISON_PART, SHARED_PART};
static const struct parts sound_first = {SOUND_PART, SHARED_PART};
static const struct parts poison_second = {SHARED_PART, POISON_PART};
static const struct parts sound_second = {SHARED_PART, SOUND_PART};

static int
setup(void **state)
{
	static const struct fixture_spec spec = {.entries = 2,
	    .engines = 8,
	    .engine_args = {"--step-usec", "5000", "--crash-on", MARKER}};

	*state = fixture_create(&spec);
	return 0;
}

/* Engines send the head of the response before they crash. */
static int
setup_begun(void **state)
{
	static const struct fixture_spec spec = {.entries = 2,
	    .engines = 8,
	    .engine_args = {
		"--step-usec", "5000", "--crash-on", MARKER, "--crash-begun"}};

	*state = fixture_create(&spec);
	return 0;
}

static int
teardown(void **state)
{
	fixture_destroy(*state);
	return 0;
}

static unsigned int
crashed_engines(struct fixture *w)
{
	unsigned int i, n = 0;

	for (i = 0; i < w->engines; i++)
		n += proc_has_ended(&w->backend[i]);
	return n;
}

/* Starts a request that no other one is like, with a last message. */
static struct call *
start_with(struct fixture *w, unsigned int entry, const struct parts *p,
    const char *last, unsigned int tokens)
{
	static unsigned int count;
	char question[64], *text;
	struct call *c;
	json_t *root;

	g_snprintf(question, sizeof(question), "%s %u", last, ++count);
	root = json_pack("{s:s, s:b, s:i, s:[{s:s, s:s}, {s:s, s:s},"
			 " {s:s, s:s}]}",
	    "model", "small", "stream", 1, "max_tokens", (int)tokens,
	    "messages", "role", "system", "content", p->first, "role", "user",
	    "content", p->second, "role", "user", "content", question);
	text = json_dumps(root, JSON_COMPACT);
	c = chat_start(w, entry, text, NULL);
	free(text);
	json_decref(root);
	return c;
}

static struct call *
start(struct fixture *w, unsigned int entry, const struct parts *p)
{
	return start_with(w, entry, p, "How warm is the water?", 2);
}

static void
check_refused(struct call *c)
{
	call_join(c);
	check_error(c, 422, "request_quarantined", "not_run");
}

static void
check_served(struct call *c)
{
	const char *body;
	size_t len;

	call_join(c);
	if (call_status(c) == 200 && call_complete(c))
		return;
	body = call_body(c);
	len = strlen(body);
	fail_msg("%u (%s), %zu bytes that end in: %s", call_status(c),
	    call_error(c), len, body + len - MIN(len, SHOWN_BYTES));
}

static void
check_parts(
    struct fixture *w, const struct parts *poison, const struct parts *sound)
{
	unsigned int i, crashed;
	struct call *c;

	for (i = 0; i < REQUESTS; i++) {
		c = start(w, i % w->entries, poison);
		call_join(c);
		assert_false(call_status(c) == 200 && call_complete(c));
		call_free(c);
		crashed = crashed_engines(w);
		if (crashed > MAX_CRASHES)
			fail_msg("%u engines have crashed after %u requests",
			    crashed, i + 1);
		g_usleep(PAUSE_USEC);
	}
	for (i = 0; i < REPEATS; i++) {
		c = start(w, i % w->entries, poison);
		check_refused(c);
		call_free(c);
		c = start(w, i % w->entries, sound);
		check_served(c);
		call_free(c);
	}
	assert_true(crashed_engines(w) <= MAX_CRASHES);
}

/*
 * Guard against requests that crash engine after engine by a message that they
 * share, while each body is new.
 */
static void
test_first_message(void **state)
{
	check_parts(*state, &poison_first, &sound_first);
}

static void
test_second_message(void **state)
{
	check_parts(*state, &poison_second, &sound_second);
}

static void
test_second_message_begun(void **state)
{
	check_parts(*state, &poison_second, &sound_second);
}

/*
 * Guards against streams that are given up because other requests with the same
 * parts crash engines by their last message.
 */
static void
test_streams_beside(void **state)
{
	struct fixture *w = *state;
	struct call *stream[STREAMS], *c;
	unsigned int i;

	for (i = 0; i < STREAMS; i++)
		stream[i] = start_with(w, i % w->entries, &sound_second,
		    "How deep is the pool?", STREAM_TOKENS);
	for (i = 0; i < STREAMS; i++)
		await(call_event_count(stream[i]) >= MIDDLE);
	for (i = 0; i < POISON_REQUESTS; i++) {
		c = start_with(w, i % w->entries, &sound_second, MARKER, 2);
		call_join(c);
		assert_int_not_equal(call_status(c), 200);
		call_free(c);
		g_usleep(JH_SUSPECT_CRASH_GAP_USEC);
	}
	assert_true(crashed_engines(w) > 1);
	for (i = 0; i < STREAMS; i++) {
		check_served(stream[i]);
		assert_int_equal(
		    call_events(stream[i])->len, STREAM_TOKENS + 1);
		call_free(stream[i]);
	}
}

/* A request of the continuous load. */
struct load_call {
	struct call *call;
	uint64_t started_at;
};

struct load {
	struct fixture *fixture;
	uint64_t until;
	struct load_call poison[MAX_CALLS], sound[MAX_CALLS];
	unsigned int n_calls; /* of each kind */
	uint64_t crashed_at[MAX_CRASH_TIMES];
	unsigned int n_crashes;
	uint64_t restart_at[FIXTURE_MAX]; /* 0: the engine runs */
};

static void
observe_engines(struct load *l)
{
	struct fixture *w = l->fixture;
	unsigned int i;

	for (i = 0; i < w->engines; i++) {
		if (!proc_has_ended(&w->backend[i]))
			continue;
		if (l->restart_at[i] == 0) {
			assert_true(l->n_crashes < MAX_CRASH_TIMES);
			l->crashed_at[l->n_crashes++] = jh_now();
			l->restart_at[i] = jh_now() + RESTART_USEC;
		} else if (jh_now() >= l->restart_at[i]) {
			l->restart_at[i] = 0;
			proc_start(&w->backend[i]);
		}
	}
}

static void
run_load(struct load *l)
{
	uint64_t next = jh_now();
	unsigned int entry;

	while (jh_now() < l->until) {
		observe_engines(l);
		if (jh_now() >= next && l->n_calls < MAX_CALLS) {
			next = jh_now() + INTERVAL_USEC;
			entry = l->n_calls % l->fixture->entries;
			l->poison[l->n_calls] = (struct load_call){
			    start(l->fixture, entry, &poison_second), jh_now()};
			l->sound[l->n_calls] = (struct load_call){
			    start(l->fixture, entry, &sound_second), jh_now()};
			l->n_calls++;
		}
		g_usleep(AWAIT_POLL_USEC);
	}
}

/* From when all daemons have to know the part. */
static uint64_t
known_at(const struct load *l)
{
	uint64_t last = 0;
	unsigned int i;

	for (i = 0; i < l->n_crashes && i < KNOWN_CRASHES; i++)
		last = l->crashed_at[i];
	assert_true(last > 0);
	return last + CONTACT_USEC;
}

static void
check_late_crashes(const struct load *l, uint64_t from)
{
	unsigned int i, late = 0;

	for (i = 0; i < l->n_crashes; i++)
		late += l->crashed_at[i] > from;
	if (late > MAX_LATE_CRASHES)
		fail_msg("%u engines have crashed, %u of them too late",
		    l->n_crashes, late);
}

/* Checks the requests that were sent later; returns their number. */
static unsigned int
check_poison(const struct load *l, uint64_t from)
{
	unsigned int i, n = 0, refused = 0;

	for (i = 0; i < l->n_calls; i++) {
		if (l->poison[i].started_at <= from)
			continue;
		n++;
		call_join(l->poison[i].call);
		if (call_status(l->poison[i].call) != 422)
			continue;
		check_refused(l->poison[i].call);
		refused++;
	}
	if (n - refused > MAX_LATE_CRASHES)
		fail_msg("%u of %u requests were not refused", n - refused, n);
	return n;
}

static unsigned int
check_sound(const struct load *l, uint64_t from)
{
	unsigned int i, n = 0;

	for (i = 0; i < l->n_calls; i++) {
		if (l->sound[i].started_at <= from)
			continue;
		n++;
		check_served(l->sound[i].call);
	}
	return n;
}

static void
free_calls(struct load_call *list, unsigned int n)
{
	unsigned int i;

	for (i = 0; i < n; i++)
		call_free(list[i].call);
}

/*
 * Guards against the same under continuous load, with engines that come back.
 * The bound in real time is a requirement.
 */
static void
check_load(struct fixture *w)
{
	struct load l = {.fixture = w, .until = jh_now() + LOAD_USEC};
	uint64_t from;

	run_load(&l);
	from = known_at(&l);
	check_late_crashes(&l, from);
	assert_true(check_poison(&l, from) > MAX_LATE_CRASHES);
	assert_true(check_sound(&l, from) > 0);
	free_calls(l.poison, l.n_calls);
	free_calls(l.sound, l.n_calls);
}

static void
test_continuous_load(void **state)
{
	check_load(*state);
}

static void
test_continuous_load_begun(void **state)
{
	check_load(*state);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown(test_first_message, setup, teardown),
    cmocka_unit_test_setup_teardown(test_second_message, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_second_message_begun, setup_begun, teardown),
    cmocka_unit_test_setup_teardown(test_streams_beside, setup, teardown),
    cmocka_unit_test_setup_teardown(test_continuous_load, setup, teardown),
    cmocka_unit_test_setup_teardown(
	test_continuous_load_begun, setup_begun, teardown),
};

HARNESS_MAIN(tests)
