#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* The faults of one run, generated from a seed; times are microseconds. */

enum soak_fault_kind {
	/* Processes. */
	FAULT_FREEZE,
	FAULT_KILL,
	FAULT_KILL_ALL,
	FAULT_STOP, /* SIGTERM */
	FAULT_RELOAD, /* SIGHUP */
	/*
	 * Short pauses in series, as by large configurations. They count as
	 * planned work, so they excuse no lost response.
	 */
	FAULT_PAUSES,
	/* The store. */
	FAULT_STORE_REFUSES,
	FAULT_STORE_SILENT,
	FAULT_STORE_LOSES_RESPONSES,
	FAULT_STORE_DROPS_HISTORY,
	FAULT_STORE_RESTORED, /* comes back from an older copy */
	/* The link between one router and the store. */
	FAULT_STORE_LINK,
	/* Workers. */
	FAULT_WORKER_MODE,
	FAULT_WORKER_CRASH,
	FAULT_WORKER_DRAINS,
	FAULT_WORKER_LINK,
	/* Several model workers crash at the same moment. */
	FAULT_POWER,
	/*
	 * Requests with one certain prompt part, which crashes each worker
	 * that begins to write an answer on it.
	 */
	FAULT_POISON_PART,
	/* A worker names a rate limit. */
	FAULT_RATE_LIMIT,
	/* A worker says that it leaves; its exit follows. */
	FAULT_ANNOUNCED_LEAVING,
	/* A worker turns all requests away for a time that it states. */
	FAULT_REFUSALS,
	/* The link between the clients and one router. */
	FAULT_CLIENT_LINK,
	/* Planned changes. */
	FAULT_CONFIG,
	FAULT_WEIGHTS,
	FAULT_KINDS
};

/* What a proxy does with the data of its connections. */
enum soak_proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,
	PROXY_RESET, /* resets every open connection, once */
	PROXY_HOLD_TO_SERVER, /* holds data to the server */
	PROXY_HOLD_TO_CLIENT, /* holds data to the client */
	PROXY_HOLD_BOTH /* holds data in both directions */
};

/* Longest delay of a slow link. */
#define SOAK_MAX_DELAY_SEC 0.8

struct soak_fault {
	enum soak_fault_kind kind;
	uint64_t at; /* since the start of the run */
	uint64_t until; /* end of the fault; equals at if it has no duration */
	unsigned int target; /* router or worker; the user takes the modulus */
	unsigned int variant; /* selects a mode; the user takes the modulus */
	uint64_t delay; /* of a slow link; length of each pause */
};

const char *soak_fault_name(enum soak_fault_kind kind);

/*
 * Generates the faults between from and until, sorted by time; to be freed with
 * g_array_free(). Each plan excludes one router from faults of single routers,
 * and some plans exclude faults of the store or of all routers at once, because
 * guarantees with a time bound hold only for undisturbed parts.
 */
GArray *soak_plan_draw(
    GRand *rand, unsigned int routers, uint64_t from, uint64_t until);

/*
 * Adds pauses of one router, which may be the excluded one, power failures and
 * crashes of workers between from and until, after the other faults of a seed
 * were drawn, which stay the same.
 */
void soak_plan_add_overlaps(
    GArray *plan, GRand *rand, uint64_t from, uint64_t until);

/*
 * Adds rate limits of workers between from and until, which overlap; another
 * one of the same worker changes its limit. The other faults stay the same.
 */
void soak_plan_add_limits(
    GArray *plan, GRand *rand, uint64_t from, uint64_t until);
/* The limit that a FAULT_RATE_LIMIT names, requests a second. */
double soak_fault_rate_limit(const struct soak_fault *f);

/*
 * Adds restores of the store from older copies between from and until, which
 * may follow each other at once. The other faults stay the same.
 */
void soak_plan_add_restores(
    GArray *plan, GRand *rand, uint64_t from, uint64_t until);

/*
 * Adds workers that say that they leave, or turn requests away, between from
 * and until; any number of them at a time. The other faults stay the same.
 */
void soak_plan_add_notices(
    GArray *plan, GRand *rand, uint64_t from, uint64_t until);

/*
 * Adds one FAULT_POISON_PART, which begins soon after from and outlasts until,
 * by SOAK_POISON_TAIL_SEC at most. It follows soak_plan_draw(), which never
 * draws it, so that the other faults of a seed are the same with and without
 * it.
 */
#define SOAK_POISON_TAIL_SEC 10
void soak_plan_add_poison(
    GArray *plan, GRand *rand, uint64_t from, uint64_t until);

#endif
