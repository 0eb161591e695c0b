#ifndef BENCH_PARTS_SPREAD_MODEL_H
#define BENCH_PARTS_SPREAD_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/sync.h>

#include "wheel.h"

/*
 * Model of how fast catalogue edits spread over all instances of the size that
 * the design assumes, and of what that costs. A copy of the catalogue is just a
 * revision; jh_sync decides when to pull and to read the store.
 */
#define REGIONS 6
#define ZONES 15
#define ENTRIES 340
#define AGENTS 6400
#define INSTANCES (ENTRIES + AGENTS)
#define RUN_USEC (600 * JH_USEC_PER_SEC)
#define WARM_UP_USEC (60 * JH_USEC_PER_SEC)
#define EDIT_USEC (5 * JH_USEC_PER_SEC) /* mean time between edits */
#define SAME_REGION_USEC (1 * JH_USEC_PER_MSEC)
#define OTHER_REGION_USEC (12 * JH_USEC_PER_MSEC)
#define LIST_DELAY_USEC (10 * JH_USEC_PER_SEC)
#define KILL_USEC (30 * JH_USEC_PER_SEC)

enum event_kind {
	EV_WAKE,
	EV_PULL_RECEIVED, /* a pull reaches its peer */
	EV_PULL_REPLY,
	EV_STORE_REQUEST,
	EV_WATCH_TIMEOUT, /* the store ends a watch after its wait time */
	EV_STORE_RESPONSE,
	EV_EDIT,
	EV_KILL,
	EV_SET_PEERS
};

struct daemon {
	char name[16];
	char zone[8];
	unsigned int zone_number;
	bool alive;
	bool watching; /* has a watch in progress at the store */
	struct jh_sync *sync;
	uint64_t revision;
	uint64_t wake; /* time of the next scheduled EV_WAKE */
	uint32_t pull_number;
	uint32_t peer;
	uint64_t pull_deadline;
	bool pull_ok;
	uint64_t pull_revision;
	uint64_t pull_age;
	uint32_t store_number;
	struct jh_sync_action store;
	enum jh_sync_result store_result;
	uint64_t store_revision;
	uint64_t pulls_served;
};

struct scenario {
	const char *name;
	double loss; /* share of pulls that are lost */
	bool kills; /* kills both watchers of a zone every KILL_USEC */
};

struct model {
	const struct scenario *scenario;
	GRand *rand;
	uint64_t now;
	struct wheel wheel;
	struct daemon *d;
	GArray *edits; /* uint64_t times; revision - 1 is the index */
	GArray *delays; /* uint32_t microseconds from edit to in force */
	uint64_t reads;
	uint64_t max_second_reads; /* most store reads in one second */
	uint64_t second; /* that second_reads counts */
	uint64_t second_reads;
	unsigned int next_kill;
};

/* All daemons start at the virtual time of 1 s. */
void spread_model_init(
    struct model *m, const struct scenario *scenario, uint64_t seed);
void spread_model_run(struct model *m);
void spread_model_clear(struct model *m);

#endif
