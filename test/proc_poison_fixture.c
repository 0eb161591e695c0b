#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "proc_poison_fixture.h"

#define MARKER "petal-of-death"
#define PATH "/v1/services/pay/lookup"

/* Daemons know of a crash after this time; bounds of the users' rule. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define KNOWN_CRASHES 3
#define MAX_LATE_CRASHES 3

/* A backend server is started again so long after it has ended. */
#define RESTART_USEC (1 * JH_USEC_PER_SEC)
#define COUNT_USEC (4 * JH_USEC_PER_SEC)
#define FINAL_CALLS 8

struct backends {
	uint64_t restart_at[FIXTURE_MAX]; /* 0: it runs */
	unsigned int crashes;
};

static unsigned int sent;

struct fixture *
proc_poison_create(const char *delay_msec)
{
	struct fixture_spec spec = {.entries = 2,
	    .services = 3,
	    .service_args = {"--crash-on", MARKER, "--delay-ms", delay_msec}};

	sent = 0;
	return fixture_create(&spec);
}

/* Starts a call of the class; each has an idempotency key of its own. */
static struct call *
start(struct fixture *w, const char *class_name, const char *body)
{
	char *class_line = g_strdup_printf("X-Class: %s", class_name);
	char *key = g_strdup_printf("Idempotency-Key: key-%u", sent);
	struct call_spec spec = {
	    .port = w->entry[sent % w->entries].port,
	    .path = PATH,
	    .key = "key-alpha",
	    .headers = {class_line, key, "X-First-Attempt: true"},
	    .body = body,
	};
	struct call *c = call_start(&spec);

	sent++;
	g_free(class_line);
	g_free(key);
	return c;
}

static struct call *
start_sound(struct fixture *w, const char *class_name)
{
	char *body = g_strdup_printf("{\"sound\":%u}", sent);
	struct call *c = start(w, class_name, body);

	g_free(body);
	return c;
}

/* Counts backend servers that have ended, and starts them again later. */
static void
restart_ended(struct fixture *w, struct backends *b)
{
	unsigned int i;

	for (i = 0; i < w->agents; i++) {
		if (b->restart_at[i] == 0 && proc_has_ended(&w->backend[i])) {
			b->crashes++;
			b->restart_at[i] = jh_now() + RESTART_USEC;
		} else if (b->restart_at[i] != 0 &&
			   jh_now() >= b->restart_at[i]) {
			proc_start(&w->backend[i]);
			proc_await(&w->backend[i]);
			b->restart_at[i] = 0;
		}
	}
}

/* Waits for the end of a call while backend servers end and start. */
static void
finish(struct fixture *w, struct backends *b, struct call *c)
{
	while (!call_ended(c)) {
		restart_ended(w, b);
		g_usleep(AWAIT_POLL_USEC);
	}
	call_join(c);
	restart_ended(w, b);
}

void
proc_poison_check(struct fixture *w, const char *class_name)
{
	static const char poison[] = "{\"text\":\"" MARKER "\"}";
	struct backends b = {.crashes = 0};
	uint64_t last_crash = jh_now();
	unsigned int before, until_contact = 0, i;
	struct call *c, *sound;

	while (jh_now() < last_crash + CONTACT_USEC + COUNT_USEC) {
		before = b.crashes;
		c = start(w, class_name, poison);
		sound = start_sound(w, class_name);
		finish(w, &b, c);
		finish(w, &b, sound);
		assert_int_not_equal(call_status(c), 200);
		call_free(c);
		call_free(sound);
		if (b.crashes > before && before < KNOWN_CRASHES)
			last_crash = jh_now();
		if (jh_now() < last_crash + CONTACT_USEC)
			until_contact = b.crashes;
	}
	print_message("%u crashes, %u of them late\n", b.crashes,
	    b.crashes - until_contact);
	assert_int_not_equal(b.crashes, 0);
	assert_in_range(b.crashes - until_contact, 0, MAX_LATE_CRASHES);
	/* Sound calls are served. */
	for (i = 0; i < w->agents; i++)
		await((restart_ended(w, &b), b.restart_at[i] == 0));
	for (i = 0; i < FINAL_CALLS; i++) {
		c = start_sound(w, class_name);
		call_join(c);
		if (call_status(c) != 200)
			fail_msg("%u %s", call_status(c), call_body(c));
		call_free(c);
	}
}
