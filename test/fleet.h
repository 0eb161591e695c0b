#ifndef TEST_FLEET_H
#define TEST_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/catalog.h>
#include <jacinthhill/clock.h>
#include <jacinthhill/sync.h>

/*
 * A fleet of catalogue copies and sync machines around one store, in virtual
 * time. Every message takes DELAY; instances show in the member list LIST_LAG
 * late. Objects are models whose weights name their version.
 */
#define ZONES 3
#define ENTRIES 5 /* per availability zone */
#define AGENTS 6 /* per availability zone */
#define PER_ZONE (ENTRIES + AGENTS)
#define FLEET (ZONES * PER_ZONE)
#define KEYS 6
#define TICK (40 * JH_USEC_PER_MSEC)
#define DELAY (12 * JH_USEC_PER_MSEC)
#define LIST_LAG (5 * JH_USEC_PER_SEC)
#define IN_FORCE (8 * JH_USEC_PER_SEC) /* the design's bound */

struct op {
	bool busy;
	struct jh_sync_action action;
	uint64_t at; /* next step of it */
	bool answered; /* pull: delta is set */
	bool lost;
	struct jh_catalog_delta delta;
	uint64_t age;
	uint64_t asked;
};

struct daemon {
	char name[16];
	char zone[8];
	enum jh_sync_role role;
	bool alive;
	uint64_t since; /* last start or stop */
	struct jh_catalog *copy;
	struct jh_sync *sync;
	struct op store;
	struct op pull;
	uint64_t seen[KEYS]; /* highest version ever in force */
};

struct fleet {
	uint64_t now;
	GRand *rand;
	struct daemon d[FLEET];
	bool store_up;
	double loss; /* of pulls */
	bool list_frozen; /* the member list shows every entry daemon */
	uint64_t revision;
	uint64_t history; /* changes that watches reach back */
	uint64_t version[KEYS];
	bool deleted[KEYS];
	uint64_t changed[KEYS]; /* time */
	uint64_t calm_since; /* store and network work since */
	unsigned int reads;
	unsigned int checks;
};

struct fleet *fleet_create(uint32_t seed);
void fleet_destroy(struct fleet *f);

/* Runs on, with random edits. */
void fleet_run(struct fleet *f, uint64_t usec, double edits_per_second);
void fleet_set_network(struct fleet *f, bool store_up, double loss);
void fleet_edit(struct fleet *f);
void fleet_crash(struct fleet *f, struct daemon *d);
void fleet_crash_some(struct fleet *f, unsigned int n);
/* Starts every daemon that is not alive, with nothing known. */
void fleet_boot_all(struct fleet *f);

#endif
