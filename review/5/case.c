#include <pthread.h>
#include <string.h>

#include "../standin/standin.h"

/*
 * The workers' event ids have 16 digits. A router is killed, and the clients
 * whose streams it served resume them at the other one.
 */
#define ROUTERS 2
#define WORKERS 4
#define CLIENTS 16
#define EVENTS 20
#define EVENT_MSEC 100

/* The ids of a stream are this and the number of the event. */
#define FIRST_ID G_GUINT64_CONSTANT(2026120500000000)

#define FIRST_MSEC 6000
#define ROUND_MSEC 8000
#define ROUNDS 4
#define DOWN_MSEC 3000

static struct si_platform *platform;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned int served, failed, resumed, wrong;

static void
on_request(void *arg, struct si_conn *c, const struct si_request *r)
{
	uint64_t n = r->last_event > FIRST_ID ? r->last_event - FIRST_ID : 0;

	si_record(platform, "worker %u: runs %s after event %" G_GUINT64_FORMAT,
	    si_worker_number(si_conn_worker(c)), r->id, r->last_event);
	si_begin_stream(c, r);
	while (++n <= EVENTS) {
		if (!si_conn_wait(c, EVENT_MSEC))
			return;
		si_send_event(c, FIRST_ID + n);
	}
	si_end_stream(c);
}

/* Sends the request, or resumes it after that event unless it is 0. */
static void
ask(unsigned int router, const char *id, uint64_t after, struct si_answer *a)
{
	static const char fields[] = "X-Jacinthhill-Model: m1\r\n"
				     "X-Jacinthhill-Token-Counts: 60,20\r\n";
	char *more = after == 0 ? g_strdup(fields)
				: g_strdup_printf("%sLast-Event-ID: "
						  "%" G_GUINT64_FORMAT "\r\n",
				      fields, after);
	struct si_call call = {.method = "POST",
	    .path = "/chat/",
	    .id = id,
	    .body = "prompt",
	    .msec = 8000,
	    .fields = more};

	si_call(platform, router, &call, a);
	si_record(platform,
	    "client: %s at router %u after event %" G_GUINT64_FORMAT
	    " got status %u, events %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
	    ", complete %d",
	    id, router, after, a->status, a->first_event, a->last_event,
	    a->complete);
	g_free(more);
}

/* Whether the stream goes on with the next event. */
static bool
goes_on(const char *id, uint64_t after, const struct si_answer *a)
{
	if (a->events == 0 || (a->first_event == after + 1 && !a->gap))
		return true;
	si_record(platform,
	    "client: %s resumed after event %" G_GUINT64_FORMAT
	    " and got event %" G_GUINT64_FORMAT,
	    id, after, a->first_event);
	return false;
}

static void
run_request(unsigned int router, unsigned int number, unsigned int i)
{
	struct si_answer a, b;
	bool ok, again, right = true;
	char id[32];

	g_snprintf(id, sizeof(id), "%04x%08x", number, i);
	ask(router, id, 0, &a);
	ok = a.status == 200 && a.complete && a.last_event == FIRST_ID + EVENTS;
	again = !ok && a.events > 0 && !a.complete;
	if (again) {
		g_snprintf(id, sizeof(id), "%04x%08xr", number, i);
		ask((router + 1) % ROUTERS, id, a.last_event, &b);
		right = goes_on(id, a.last_event, &b);
		ok = b.status == 200 && b.complete && right;
	}
	pthread_mutex_lock(&lock);
	resumed += again;
	wrong += !right;
	served += ok;
	failed += !ok;
	pthread_mutex_unlock(&lock);
}

static void *
run_client(void *arg)
{
	unsigned int number = GPOINTER_TO_UINT(arg), i;
	uint64_t end = FIRST_MSEC + (uint64_t)ROUNDS * ROUND_MSEC;

	si_sleep(number * 120);
	for (i = 0; si_now(platform) < end; i++) {
		run_request(number % ROUTERS, number, i);
		si_sleep(50);
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
	for (i = 0; i < ROUTERS; i++)
		si_router_start(platform);
	for (i = 0; i < ROUTERS; i++) {
		if (!si_router_await(platform, i, 10000))
			return si_stop(platform, SI_CANNOT_RUN);
	}
	for (i = 0; i < CLIENTS; i++) {
		if (pthread_create(&clients[i], NULL, run_client,
			GUINT_TO_POINTER(i)) != 0)
			return si_stop(platform, SI_CANNOT_RUN);
	}
	for (i = 0; i < ROUNDS && si_trouble(); i++) {
		si_sleep_until(platform, FIRST_MSEC + (uint64_t)ROUND_MSEC * i);
		si_router_kill(platform, i % ROUTERS);
		si_sleep(DOWN_MSEC);
		si_router_restart(platform, i % ROUTERS);
	}
	for (i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	si_record(platform,
	    "%u served, %u failed; %u resumed, %u of them not at the event "
	    "that was due",
	    served, failed, resumed, wrong);
	if (served == 0)
		return si_stop(platform, SI_CANNOT_RUN);
	return si_stop(platform, wrong > 0 ? SI_BROKEN : SI_OK);
}
