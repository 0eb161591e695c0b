#ifndef BENCH_PARTS_PLACE_LOAD_H
#define BENCH_PARTS_PLACE_LOAD_H

#include <stdint.h>

#include <glib.h>

#include <jacinthhill/prefix.h>

/* Organisations; each uses each manual with instructions of its own. */
#define PLACE_ORGS 64

/* One request of the load. */
struct place_arrival {
	uint64_t at; /* microseconds */
	uint32_t manual; /* node of the first level */
	uint32_t org; /* node of the second level: its instructions */
	uint32_t decode_tokens;
	uint32_t entry; /* entry daemon it reaches */
	struct jh_prefix prefix;
};

/* A generator of requests with nested prefixes of skewed popularity. */
struct place_load;

/*
 * rate is in requests/s; requests reach each of the entry daemons equally
 * often.
 */
struct place_load *place_load_create(
    uint64_t seed, uint32_t manuals, uint32_t entries, double rate);
void place_load_destroy(struct place_load *l);

void place_load_next(struct place_load *l, struct place_arrival *a);

/* Swaps the five most popular manuals with unpopular ones. */
void place_load_shift(struct place_load *l);

/* Number of nodes; they are numbered from 0. */
uint32_t place_load_nodes(const struct place_load *l);
uint32_t place_load_tokens(const struct place_load *l, uint32_t node);

/* Mean output tokens of a request. */
#define PLACE_DECODE_TOKENS 150

/* Mean tokens of the question in a prompt. */
#define PLACE_QUESTION_TOKENS 200

#endif
