#ifndef BENCH_PARTS_QUEUE_LOAD_H
#define BENCH_PARTS_QUEUE_LOAD_H

#include <glib.h>

#include <jacinthhill/queue.h>

/* Organisations 0 and 1 are the large ones. */
#define QUEUE_ORGS 8
#define QUEUE_LARGE_ORGS 2

/* Open-loop arrivals; rates are requests per second. */
struct queue_load {
	/* Of each organisation and rank. */
	double rate[QUEUE_ORGS][JH_RANKS];
	/* Factor on the engine's iteration time after half of the run. */
	double slowdown;
};

/* One request, with what only the engine knows. */
struct queue_request {
	struct jh_queue_item item;
	unsigned int org;
	uint32_t answer;
	uint64_t arrived;
};

/* Share of requests that are urgent in steady load. */
extern const double queue_urgent_share;

double queue_load_total(const struct queue_load *l);
/* Draws the next arrival after *now and moves *now there. */
void queue_load_draw(const struct queue_load *l, GRand *rand, uint64_t *now,
    uint64_t id, struct queue_request *out);
/* Fills in a request of a rank, without arrival and organisation. */
void queue_request_draw(
    GRand *rand, enum jh_rank rank, struct queue_request *out);

#endif
