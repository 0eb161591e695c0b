#ifndef FAKES_PLATFORM_WORKER_STATE_H
#define FAKES_PLATFORM_WORKER_STATE_H

#include <stdbool.h>

#include <glib.h>

#include "fakes/platform/worker.h"
#include "net/server.h"

/* Shared by the files of the fake worker only. */

#define FAKE_WORKER_ID_SIZE 24

/* A running request. */
struct fake_run {
	struct fake_worker *worker;
	struct jh_server_request *request;
	char *id;
	GString *fields;
	uv_timer_t timer;
	int event; /* id of the last event that was sent */
	int first_event; /* value of event at the start */
	bool is_stream, head_sent;
	bool crashes; /* the worker, in place of its response */
	enum fake_worker_mode mode;
};

struct fake_worker {
	struct fake_worker_spec spec;
	struct fake_objects *objects;
	uv_loop_t *loop;
	struct jh_uv_server *server; /* NULL after a crash */
	char id[FAKE_WORKER_ID_SIZE];
	unsigned int starts;
	enum fake_worker_mode mode;
	bool draining;
	unsigned int runs;
	unsigned int misdirected;
	unsigned int crashes, crash_arrivals;
	unsigned int weights, loading;
	unsigned int orders;
	double rate_limit; /* requests a second; negative: it names none */
	bool leaving; /* as it says in its responses */
	uint64_t refuses_until; /* jh_now() time */
	uint64_t started_ms; /* Unix milliseconds */
	uv_timer_t load_timer, restart_timer;
	GHashTable *running; /* struct fake_run */
	char *last_head;
};

/* Starts to run a request. Call it with the lock held. */
void fake_run_start(struct fake_worker *w, struct jh_server_request *v);
/* Resets the run's connection and ends the run. Call it with the lock held. */
void fake_run_reset(struct fake_run *r);
/* Whether the request crashes the worker. */
bool fake_run_crashes(const struct fake_worker *w, const struct jh_head *head);
/*
 * The header lines by which it names its rate limit and says that it leaves;
 * free with g_free().
 */
char *fake_notice_fields(const struct fake_worker *w);
/* Ends a run without a response. Call it with the lock held. */
void fake_run_end(struct fake_run *r);

#endif
