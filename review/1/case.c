#include <pthread.h>
#include <string.h>

#include "../standin/standin.h"

/*
 * Streams of a resumable route lose their connections to the workers, while one
 * worker of seven answers part of its requests with an error of its own.
 */
#define WORKERS 7
#define CLIENTS 80
#define EVENTS 20
#define EVENT_MSEC 100

/* Largest doses of the users' list: srv_grey and reset_conns. */
#define GREY_SHARE_PERCENT 45
#define GREY_MSEC 6500
#define RESET_SHARE_PERCENT 50

#define FIRST_MSEC 5000
#define ROUND_MSEC 8000
#define ROUNDS 7

static struct si_platform *platform;
static unsigned int round_number; /* of the last reset; 0: none yet */
static int grey;
static unsigned int malformed, served, failed;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static unsigned int
percent(const char *id, unsigned int salt)
{
	return (g_str_hash(id) ^ salt * 2654435761U) % 100;
}

static unsigned int
current_round(void)
{
	return (unsigned int)g_atomic_int_get((int *)&round_number);
}

static void
on_request(void *arg, struct si_conn *c, const struct si_request *r)
{
	unsigned int number = si_worker_number(si_conn_worker(c));
	unsigned int begun = current_round();
	uint64_t id;

	si_record(platform, "worker %u: runs %s after event %" G_GUINT64_FORMAT,
	    number, r->id, r->last_event);
	if (number == 0 && g_atomic_int_get(&grey) &&
	    percent(r->id, 7) < GREY_SHARE_PERCENT) {
		si_record(
		    platform, "worker %u: answers %s with 500", number, r->id);
		si_respond(
		    c, r, 500, "X-Jacinthhill-Response-Seal: e\r\n", "error");
		return;
	}
	si_begin_stream(c, r);
	for (id = r->last_event + 1; id <= EVENTS; id++) {
		if (!si_conn_wait(c, EVENT_MSEC))
			return;
		if (current_round() != begun &&
		    percent(r->id, current_round()) < RESET_SHARE_PERCENT) {
			si_record(platform, "link to worker %u: reset, %s",
			    number, r->id);
			si_conn_reset(c);
			return;
		}
		begun = current_round();
		si_send_event(c, id);
	}
	si_end_stream(c);
}

static void
run_request(const char *id)
{
	struct si_call call = {.method = "POST",
	    .path = "/chat/",
	    .id = id,
	    .body = "prompt",
	    .msec = 8000,
	    .fields = "X-Jacinthhill-Model: m1\r\n"
		      "X-Jacinthhill-Token-Counts: 60,20\r\n"};
	struct si_answer a;

	si_call(platform, 0, &call, &a);
	si_record(platform,
	    "client: %s got status %u, %u events, complete %d, gap %d%s%s", id,
	    a.status, a.events, a.complete, a.gap,
	    a.malformed ? ", bytes that are no answer: " : "", a.malformed_at);
	pthread_mutex_lock(&lock);
	malformed += a.malformed;
	if (a.status == 200 && a.complete && a.events == EVENTS)
		served++;
	else
		failed++;
	pthread_mutex_unlock(&lock);
}

static void *
run_client(void *arg)
{
	unsigned int number = GPOINTER_TO_UINT(arg), i;
	uint64_t end = FIRST_MSEC + ROUNDS * ROUND_MSEC;
	char id[32];

	si_sleep(number * 25);
	for (i = 0; si_now(platform) < end; i++) {
		g_snprintf(id, sizeof(id), "%04x%08x", number, i);
		run_request(id);
	}
	return NULL;
}

int
main(int argc, char **argv)
{
	pthread_t clients[CLIENTS];
	unsigned int i;

	platform = si_start(argc > 1 ? argv[1] : "record.txt");
	for (i = 0; i < WORKERS; i++)
		si_worker_start(platform, "llm", on_request, NULL);
	si_router_start(platform);
	if (!si_router_await(platform, 0, 10000))
		return si_stop(platform, SI_CANNOT_RUN);
	for (i = 0; i < CLIENTS; i++) {
		if (pthread_create(&clients[i], NULL, run_client,
			GUINT_TO_POINTER(i)) != 0)
			return si_stop(platform, SI_CANNOT_RUN);
	}
	for (i = 0; i < ROUNDS && si_trouble(); i++) {
		si_sleep_until(platform, FIRST_MSEC + i * ROUND_MSEC);
		si_record(platform, "worker 0: fails some of its requests");
		g_atomic_int_set(&grey, 1);
		si_sleep(50);
		g_atomic_int_inc((int *)&round_number);
		si_sleep(GREY_MSEC - 50);
		g_atomic_int_set(&grey, 0);
		si_record(platform, "worker 0: sound again");
	}
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	si_record(platform, "%u served, %u failed, %u not an answer", served,
	    failed, malformed);
	if (served == 0)
		return si_stop(platform, SI_CANNOT_RUN);
	return si_stop(platform, malformed > 0 ? SI_BROKEN : SI_OK);
}
