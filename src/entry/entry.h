#ifndef ENTRY_ENTRY_H
#define ENTRY_ENTRY_H

#include <pthread.h>

#include <jacinthhill/catalog.h>
#include <jacinthhill/counters.h>
#include <jacinthhill/retry.h>

#include "entry/head_cache.h"
#include "entry/settings.h"
#include "entry/workers.h"
#include "feed/crash_log.h"
#include "feed/feed.h"
#include "http/client.h"
#include "http/server.h"

enum entry_counter {
	ENTRY_REQUESTS,
	ENTRY_REJECTED,
	ENTRY_REFUSED,
	ENTRY_COMPLETED,
	ENTRY_CANCELLED,
	ENTRY_RETRIES,
	ENTRY_RESUMES,
	ENTRY_RECONNECTS,
	ENTRY_TOKENS,
	ENTRY_PROMPT_TOKENS,
	ENTRY_CACHED_TOKENS,
	ENTRY_COUNTERS
};

extern const char *const entry_counter_names[ENTRY_COUNTERS];

/* State of the entry daemon, jhentry. */
struct entry {
	struct entry_settings settings;
	uint64_t incarnation;
	struct jh_counters *counters;
	struct jh_http_client *client;
	struct jh_http_server *server;
	struct jh_catalog *catalog;
	struct entry_workers *workers;
	struct entry_head_cache *head_cache;
	struct jh_feed *feed;
	struct entry_revision_wait *revision_wait;
	struct refusal_log *refusals;
	struct crash_log *crashes;
	struct entry_limits *limits;
	int leaving; /* atomic */
	int instances_known; /* atomic: the instance list has been read */

	pthread_mutex_t lock; /* guards all below */
	struct jh_retry *retry;
	GHashTable *jobs; /* set of struct entry_job; holds references */
};

extern const struct jh_http_server_ops entry_server_ops;

/* Counts and logs the refusal of a request that its catalogue entry allows. */
void entry_count_refusal(
    struct entry *e, const char *owner, const char *class_name);

#endif
