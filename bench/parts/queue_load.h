#ifndef BENCH_PARTS_QUEUE_LOAD_H
#define BENCH_PARTS_QUEUE_LOAD_H

#include <glib.h>

#include <jacinthhill/queue.h>

/* Organisations 0 and 1 are the large ones. */
#define QUEUE_ORGS 8
#define QUEUE_LARGE_ORGS 2

/* A load of Poisson arrivals; rates are in requests per second. */
struct queue_load {
	/* By organisation and rank. */
	double rate[QUEUE_ORGS][JH_RANKS];
	/* Factor on the engine's iteration time in the second half; 0: none. */
	double slowdown;
};

/* A request, with the output length that only the engine knows. */
struct queue_request {
	struct jh_queue_item item;
	unsigned int org;
	uint32_t output_tokens;
	uint64_t arrived;
};

/* Share of requests that are urgent in steady load. */
extern const double queue_urgent_share;

double queue_load_total(const struct queue_load *l);
/* Draws the next arrival after *now and sets *now to its time. */
void queue_load_draw(const struct queue_load *l, GRand *rand, uint64_t *now,
    uint64_t id, struct queue_request *out);
/* Draws a request of a rank, without time of arrival and organisation. */
void queue_request_draw(
    GRand *rand, enum jh_rank rank, struct queue_request *out);

#endif
