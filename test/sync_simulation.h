#ifndef TEST_SYNC_SIMULATION_H
#define TEST_SYNC_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/catalog.h>
#include <jacinthhill/clock.h>
#include <jacinthhill/sync.h>

/*
 * Randomised simulation of daemons that keep their catalogue copies current by
 * jh_sync, with one store, in virtual time. Each message takes DELAY. The
 * membership list shows starts and stops late by LIST_LAG. Objects are models
 * whose weights state the version.
 */
#define ZONES 3
#define ENTRIES 5 /* per availability zone */
#define AGENTS 6 /* per availability zone */
#define PER_ZONE (ENTRIES + AGENTS)
#define N_DAEMONS (ZONES * PER_ZONE)
#define KEYS 6
#define TICK (40 * JH_USEC_PER_MSEC)
#define DELAY (12 * JH_USEC_PER_MSEC)
#define LIST_LAG (5 * JH_USEC_PER_SEC)
#define IN_FORCE (8 * JH_USEC_PER_SEC) /* after an edit, at the latest */

/* A pull or store call in progress. */
struct op {
	bool busy;
	struct jh_sync_action action;
	uint64_t at; /* time of its next step */
	bool replied; /* pull: delta is set */
	bool lost; /* no reply before the deadline */
	struct jh_catalog_delta delta;
	uint64_t age; /* pull: as jh_sync_on_pull() takes it */
	uint64_t asked; /* pull: revision; store call: time of the start */
};

struct daemon {
	char name[16];
	char zone[8];
	enum jh_sync_role role;
	bool alive;
	uint64_t since; /* time of the last start or stop */
	struct jh_catalog *copy;
	struct jh_sync *sync;
	struct op store;
	struct op pull;
	uint64_t seen[KEYS]; /* highest version ever in force */
};

/* The simulated daemons, store and network. */
struct sync_simulation {
	uint64_t now;
	GRand *rand;
	struct daemon daemons[N_DAEMONS];
	bool store_up;
	double loss; /* probability that a pull is lost */
	bool list_frozen; /* the list shows dead entry daemons too */
	uint64_t revision; /* of the store */
	uint64_t history; /* revisions that a watch can reach back */
	/* A response to a watch with more revisions is unusable; 0: none is. */
	uint64_t max_changes;
	uint64_t version[KEYS]; /* in the store */
	bool deleted[KEYS];
	uint64_t changed[KEYS]; /* time of the last edit */
	uint64_t no_faults_since; /* time since which there are no faults */
	unsigned int reads; /* store calls */
	unsigned int checks; /* comparisons with the store after IN_FORCE */
};

struct sync_simulation *sync_simulation_create(uint32_t seed);
void sync_simulation_destroy(struct sync_simulation *f);

/* Advances the time by usec microseconds, with random edits. */
void sync_simulation_run(
    struct sync_simulation *f, uint64_t usec, double edits_per_second);
/* loss is the probability that a pull is lost. */
void sync_simulation_set_network(
    struct sync_simulation *f, bool store_up, double loss);
/* Changes or deletes a random object, if the store is up. */
void sync_simulation_edit(struct sync_simulation *f);
void sync_simulation_crash(struct sync_simulation *f, struct daemon *d);
void sync_simulation_crash_some(struct sync_simulation *f, unsigned int n);
/* Starts every daemon that is not alive, with an empty copy. */
void sync_simulation_start_all(struct sync_simulation *f);

#endif
