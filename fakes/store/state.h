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

enum fake_mode { FAKE_UP, FAKE_DOWN, FAKE_SLOW, FAKE_HANG };

struct fake_store {
	struct jh_http_server *http;
	pthread_t timer;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t wake; /* the timer has something new to wait for */
	bool stopping;
	struct fake_table *table;
	struct fake_bucket writes;
	struct fake_bucket reads;
	enum fake_mode mode;
	uint64_t slow_usec;
	double lose_answers;
	uint64_t lose_next;
	GRand *rand;
	GPtrArray *parked; /* of struct fake_parked */
	uint64_t n_writes;
	uint64_t n_reads;
	uint64_t n_watches;
	uint64_t n_throttled;
	uint64_t n_lost;
};

/* A request that is answered later: a watch, or any in slow or hang mode. */
struct fake_parked {
	struct jh_http_req *req;
	uint64_t due;
	bool watch;
};

/* All of these are called with the lock held. */

/* Answers now or parks the request; takes over the reference. */
void fake_serve(struct fake_store *s, struct jh_http_req *req);
/* Answers reads: objects, lists. */
void fake_serve_get(struct fake_store *s, struct jh_http_req *req);
void fake_serve_list(struct fake_store *s, struct jh_http_req *req);
/* Answers a watch if something changed or last is set. */
bool fake_serve_watch(struct fake_store *s, struct jh_http_req *req, bool last);
/* Answers PUT and DELETE of an object. */
void fake_serve_write(struct fake_store *s, struct jh_http_req *req);

void fake_reply_text(
    struct jh_http_req *req, unsigned int status, const char *text);
void fake_reply_json(struct jh_http_req *req, unsigned int status, json_t *o);
void fake_add_number(struct jh_http_req *req, const char *name, uint64_t n);
/* The key in the path, or NULL. */
const char *fake_req_key(const struct jh_http_req *req);
/* A query number in [0, max]; fallback when absent or malformed. */
uint64_t fake_req_number(const struct jh_http_req *req, const char *name,
    uint64_t max, uint64_t fallback);

#endif
