#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "platform_fixture.h"
#include "poison_service_fixture.h"

/* contactMs, and the bounds of the rules BUDGET and LOST. */
#define CONTACT_USEC (4 * JH_USEC_PER_SEC)
#define BUDGET_CRASHES 3
#define BUDGET_ARRIVALS 3
#define MIN_SOUND_SHARE 0.5

#define ROUTERS 3
#define WORKERS 3
#define RESTART_MSEC 2500
/* From a response until its client sends the call again. */
#define REPEAT_USEC (30 * JH_USEC_PER_MSEC)
/* Between sound calls. */
#define SOUND_USEC (40 * JH_USEC_PER_MSEC)
/* Paths that sound calls share; the others have one each. */
#define SHARED_PATHS 3
/* How long arrivals are counted, from CONTACT_USEC after the crashes. */
#define COUNT_USEC (6 * JH_USEC_PER_SEC)
#define FINAL_CALLS 12

/* A client that sends the poison call whenever its last one has ended. */
struct poison_client {
	struct call *call; /* NULL: none is running */
	uint64_t next; /* when the next one is sent */
};

struct sound_call {
	struct call *call;
	uint64_t sent_at;
};

static struct platform *p;
static GArray *sound_calls;
static unsigned int sent;

void
poison_service_create(const char *crash_path, unsigned int work_msec)
{
	const struct platform_spec spec = {.routers = ROUTERS,
	    .workers = WORKERS,
	    .plain = true,
	    .worker = {.work_msec = work_msec,
		.crash_path = crash_path,
		.crash_headless = true,
		.restart_msec = RESTART_MSEC}};

	p = platform_create(&spec);
	sound_calls = g_array_new(FALSE, FALSE, sizeof(struct sound_call));
	sent = 0;
}

int
poison_service_tear_down(void **state)
{
	guint i;

	for (i = 0; i < sound_calls->len; i++)
		call_free(
		    g_array_index(sound_calls, struct sound_call, i).call);
	g_array_free(sound_calls, TRUE);
	platform_stop(p);
	return 0;
}

static struct call *
start(const char *path, const char *body)
{
	char *id = g_strdup_printf("X-Jacinthhill-Attempt-Id: a%u", sent);
	struct call_spec spec = {
	    .port = platform_router_at(p, sent % ROUTERS)->port,
	    .path = path,
	    .headers = {"Host: h.example", "Api-Key: k1",
		"X-Jacinthhill-Deadline-Milliseconds: 2000", id},
	    .body = body,
	};
	struct call *c = call_start(&spec);

	g_free(id);
	sent++;
	return c;
}

static struct call *
start_sound(void)
{
	const char *route = sent % 2 == 0 ? "/again" : "/once";
	char *path = sent % 5 == 0 ? g_strdup_printf("%s/shared%u", route,
					 sent / 5 % SHARED_PATHS)
				   : g_strdup_printf("%s/own%u", route, sent);
	struct call *c = start(path, "question");

	g_free(path);
	return c;
}

static void
run_client(struct poison_client *c, const char *path)
{
	if (c->call != NULL && call_ended(c->call)) {
		call_free(c->call);
		c->call = NULL;
		c->next = jh_now() + REPEAT_USEC;
	}
	if (c->call == NULL && jh_now() >= c->next)
		c->call = start(path, "poison");
}

/* The share of the sound calls sent from that time on that were served. */
static double
sound_share(uint64_t from)
{
	unsigned int n = 0, served = 0;
	struct sound_call *s;
	guint i;

	for (i = 0; i < sound_calls->len; i++) {
		s = &g_array_index(sound_calls, struct sound_call, i);
		call_join(s->call);
		if (s->sent_at < from)
			continue;
		n++;
		served += call_status(s->call) == 200;
	}
	print_message("%u of %u sound calls served\n", served, n);
	assert_int_not_equal(n, 0);
	return (double)served / n;
}

/* Once no call crashes workers, all others are served. */
static void
check_sound_calls(void)
{
	unsigned int i;
	struct call *c;

	g_usleep(2 * RESTART_MSEC * JH_USEC_PER_MSEC);
	for (i = 0; i < FINAL_CALLS; i++) {
		c = start_sound();
		call_join(c);
		assert_int_equal(call_status(c), 200);
		call_free(c);
	}
}

void
poison_service_check(const char *path, unsigned int copies)
{
	struct poison_client client[POISON_SERVICE_COPIES] = {{0}};
	uint64_t last_crash = jh_now(), next_sound = 0;
	unsigned int crashes = 0, arrivals = 0, now, i;
	struct sound_call s;

	while (jh_now() < last_crash + CONTACT_USEC + COUNT_USEC) {
		for (i = 0; i < copies; i++)
			run_client(&client[i], path);
		if (jh_now() >= next_sound) {
			next_sound = jh_now() + SOUND_USEC;
			s = (struct sound_call){start_sound(), jh_now()};
			g_array_append_val(sound_calls, s);
		}
		g_usleep(AWAIT_POLL_USEC);
		now = platform_crashes(p);
		if (now > crashes && crashes < BUDGET_CRASHES)
			last_crash = jh_now();
		crashes = now;
		if (jh_now() < last_crash + CONTACT_USEC)
			arrivals = platform_crash_arrivals(p);
	}
	for (i = 0; i < copies; i++) {
		if (client[i].call != NULL)
			call_free(client[i].call);
	}
	arrivals = platform_crash_arrivals(p) - arrivals;
	print_message(
	    "%u crashes, %u arrivals later\n", platform_crashes(p), arrivals);
	assert_true(crashes >= BUDGET_CRASHES);
	assert_in_range(arrivals, 0, BUDGET_ARRIVALS);
	assert_true(sound_share(last_crash + CONTACT_USEC) >= MIN_SOUND_SHARE);
	check_sound_calls();
}
