#ifndef FAKE_STORE_STATE_H
#define FAKE_STORE_STATE_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bucket.h"
#include "http/server.h"
#include "service.h"
#include "table.h"

#define FAKE_VALUE_LIMIT (1024 * 1024) /* bytes of one value */

/* How requests are handled: served, refused with 503, served late, or never. */
enum fake_mode { FAKE_UP, FAKE_DOWN, FAKE_SLOW, FAKE_HANG };

struct fake_store {
	struct jh_http_server *http;
	pthread_t timer;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t wake; /* signals a change to the timer thread */
	bool stopping;
	struct fake_table *table;
	struct fake_bucket writes; /* rate limit of writes */
	struct fake_bucket reads; /* rate limit of reads */
	enum fake_mode mode;
	uint64_t slow_usec; /* delay in slow mode */
	double response_loss_rate; /* share of writes, 0 to 1 */
	uint64_t responses_to_lose; /* of the next writes */
	GRand *rand;
	GPtrArray *deferred; /* of struct fake_deferred */
	uint64_t n_writes;
	uint64_t n_reads;
	uint64_t n_watches;
	uint64_t n_throttled;
	uint64_t n_lost;
};

/* A request that is handled later: a watch, or any in slow or hang mode. */
struct fake_deferred {
	struct jh_http_req *req;
	uint64_t due; /* jh_now() time; JH_NEVER in hang mode */
	bool watch;
};

/* The lock must be held for all functions below. */

/* Responds to the request or defers it; takes over the reference. */
void fake_serve(struct fake_store *s, struct jh_http_req *req);
/* Respond to a read of an object and of a list. */
void fake_serve_get(struct fake_store *s, struct jh_http_req *req);
void fake_serve_list(struct fake_store *s, struct jh_http_req *req);
/*
 * Responds to a watch if there are changes, if its revision is too old, or if
 * last is set. Returns whether it did.
 */
bool fake_serve_watch(struct fake_store *s, struct jh_http_req *req, bool last);
/* Responds to PUT and DELETE of an object. */
void fake_serve_write(struct fake_store *s, struct jh_http_req *req);

void fake_reply_text(
    struct jh_http_req *req, unsigned int status, const char *text);
void fake_reply_json(struct jh_http_req *req, unsigned int status, json_t *o);
void fake_add_number(struct jh_http_req *req, const char *name, uint64_t n);
/* The key in the path, or NULL if there is none. */
const char *fake_req_key(const struct jh_http_req *req);
/* A number of the query string in [0, max]; fallback if absent or malformed. */
uint64_t fake_req_number(const struct jh_http_req *req, const char *name,
    uint64_t max, uint64_t fallback);

#endif
