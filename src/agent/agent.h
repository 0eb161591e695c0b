#ifndef AGENT_AGENT_H
#define AGENT_AGENT_H

#include <pthread.h>

#include <jacinthhill/cacheview.h>
#include <jacinthhill/counters.h>
#include <jacinthhill/queue.h>

#include "agent/settings.h"
#include "agent/widths.h"
#include "feed/crash_log.h"
#include "feed/feed.h"
#include "http/client.h"
#include "http/server.h"

/*
 * Time for which a stream is kept for a reconnect, after its entry daemon's
 * connection broke or after its end.
 */
#define AGENT_ORPHAN_TIMEOUT_USEC (10 * 1000000ULL)

/* Bytes of a stream that are kept for a reconnect. */
#define AGENT_STREAM_LOG_LEN (64 * 1024)

/* Bytes of all ended streams that are kept; the oldest are dropped first. */
#define AGENT_ENDED_LOGS_LEN (4 * 1024 * 1024)

enum agent_counter {
	AGENT_REQUESTS,
	AGENT_UNAUTHENTICATED,
	AGENT_REFUSED,
	AGENT_STARTED,
	AGENT_COMPLETED,
	AGENT_CANCELLED,
	AGENT_ENGINE_LOST,
	AGENT_REATTACHED,
	AGENT_TOKENS,
	AGENT_PROMPT_TOKENS,
	AGENT_CACHED_TOKENS,
	AGENT_EVENT_GAPS,
	AGENT_EXPECTED_TOKENS,
	AGENT_COUNTERS
};

extern const char *const agent_counter_names[AGENT_COUNTERS];

/* The state that the engine last reported. */
struct agent_engine {
	uint64_t incarnation; /* 0: not known */
	char *model;
	char *weights;
	uint64_t block_tokens;
	uint64_t last_event_seq; /* of the last cache event applied */
};

/* The state of one jhagent process. */
struct agent {
	struct agent_settings settings;
	uint64_t incarnation;
	struct jh_counters *counters;
	struct jh_http_client *client;
	struct jh_http_server *server;
	struct jh_catalog *catalog;
	struct jh_feed *feed;
	struct crash_log *crashes;
	struct agent_once *once; /* NULL if the backend is an engine */
	struct agent_orders *orders; /* guarded by lock */
	struct agent_rollout *rollout; /* NULL if it is a service */

	pthread_mutex_t lock; /* guards all below */
	struct jh_queue *queue;
	struct agent_widths *widths;
	struct jh_cacheview *cache; /* NULL until the engine's first report */
	struct agent_engine engine;
	GHashTable *jobs; /* &id -> struct agent_job, queued or running */
	GHashTable *by_request; /* request id -> struct agent_job */
	GQueue ended; /* struct agent_job, kept streams, oldest first */
	size_t ended_len; /* bytes of their logs */
	uint64_t next_id;
	uint64_t crash_seq;
	uint64_t crashed_at; /* 0: no crash yet */
	bool backend_down; /* of a service; until a call is answered */

	int leaving; /* atomic */
	int wait_ms; /* atomic: estimated wait of a new urgent request */
};

/* Authenticates and dispatches requests of entry daemons (server.c). */
extern const struct jh_http_server_ops agent_server_ops;

/* Replies with a status and a reason, and with the outcome "not_run". */
void agent_refuse(struct agent *a, struct jh_http_req *req, unsigned int status,
    const char *reason);
/* Adds the headers that every response carries. */
void agent_add_headers(
    struct agent *a, struct jh_http_req *req, const char *outcome);

/*
 * Expires queued jobs and orphaned streams, and starts what may run (chat.c).
 */
void agent_tick(struct agent *a);

#endif
