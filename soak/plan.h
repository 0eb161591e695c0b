#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* The faults of one run, drawn from a seed. Pure; times are microseconds. */

enum soak_fault_kind {
	/* Processes. */
	FAULT_FREEZE,
	FAULT_KILL,
	FAULT_KILL_ALL,
	FAULT_STOP, /* SIGTERM */
	FAULT_RELOAD, /* SIGHUP */
	/* The store. */
	FAULT_STORE_REFUSES,
	FAULT_STORE_SILENT,
	FAULT_STORE_LOSES_ANSWERS,
	FAULT_STORE_FORGETS,
	/* One entry's way to the store. */
	FAULT_STORE_LINK,
	/* Workers. */
	FAULT_WORKER_MODE,
	FAULT_WORKER_CRASH,
	FAULT_WORKER_LEAVES,
	FAULT_WORKER_LINK,
	/* Callers' way to one entry. */
	FAULT_CALLER_LINK,
	/* Planned work. */
	FAULT_CONFIG,
	FAULT_WEIGHTS,
	FAULT_KINDS
};

/* What a link does to bytes. */
enum soak_link_mode {
	LINK_PASS,
	LINK_DELAY,
	LINK_RESET, /* once: every open connection */
	LINK_CUT_THERE, /* nothing passes towards the server */
	LINK_CUT_BACK, /* nothing passes towards the client */
	LINK_SILENT /* nothing passes either way */
};

struct soak_fault {
	enum soak_fault_kind kind;
	uint64_t at; /* since the start */
	uint64_t until; /* the end; at: no duration */
	unsigned int target; /* entry, or worker before the modulus */
	unsigned int variant; /* a mode, before the modulus */
	uint64_t delay; /* of a slow link */
};

const char *soak_fault_name(enum soak_fault_kind kind);

/*
 * Faults between from and until, sorted by time; free with g_array_free(). Each
 * plan spares one entry from all that does not strike every entry, and some
 * plans spare the store or the entries as a whole: promises with a time bound
 * hold for those that are in touch only.
 */
GArray *soak_plan_draw(
    GRand *rand, unsigned int entries, uint64_t from, uint64_t until);

#endif
