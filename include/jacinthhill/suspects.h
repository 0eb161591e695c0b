#ifndef JACINTHHILL_SUSPECTS_H
#define JACINTHHILL_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Detects requests that crash the engine that runs them ("poison" requests). A
 * request that was running on an engine when it crashed is a suspect, and is
 * not run together with another suspect. If an engine crashes while the
 * request is its only suspect, or the request is in a third crash, it is
 * quarantined. Times are microseconds of the process's own clock. The rules
 * are in docs/poison.md.
 */
struct jh_suspects;

/* Identifies a request: XXH3-128 of its organisation and body. */
struct jh_fingerprint {
	uint64_t high;
	uint64_t low;
};

struct jh_fingerprint jh_fingerprint_of(struct jh_str org, struct jh_str body);

struct jh_suspects_settings {
	size_t max_entries; /* fingerprints in the table */
	uint64_t hold_usec; /* how long a state lasts after the last crash */
};

#define JH_SUSPECTS_DEFAULTS .max_entries = 4096, .hold_usec = 600 * 1000000ULL

enum jh_suspect_state {
	JH_SUSPECT_NONE, /* no crash known */
	JH_SUSPECT_SUSPECT,
	JH_SUSPECT_QUARANTINED,
};

/* Whether a request may run on an engine. */
enum jh_suspect_decision {
	JH_SUSPECT_RUN,
	JH_SUSPECT_WAIT, /* another suspect runs here: wait or try another */
	JH_SUSPECT_REFUSE, /* quarantined: refuse as request_quarantined */
};

/* One request in one crash, as exchanged between processes. */
struct jh_crash {
	struct jh_fingerprint fingerprint;
	uint64_t reporter; /* incarnation of the agent that saw the crash */
	uint64_t seq; /* number of the crash at that agent */
	uint64_t remaining_usec; /* how long it still counts */
	bool sole; /* the request was the only suspect in the batch */
	bool cleared; /* the request has since run successfully */
};

struct jh_suspects *jh_suspects_create(const struct jh_suspects_settings *s);
void jh_suspects_destroy(struct jh_suspects *s);

/*
 * Reports that an engine crashed while it ran the n requests of the batch. The
 * crash is identified by the agent's incarnation and its number at that agent;
 * repeating a report changes nothing.
 */
void jh_suspects_crashed(struct jh_suspects *s, uint64_t now, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *batch, size_t n);

/*
 * Reports the number of crashes from the Jh-Crashes header of a request. It
 * expires like a crash and is not exported to other processes.
 */
void jh_suspects_hint(struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint fingerprint, unsigned int crashes);

/*
 * Reports that the request ran to completion: a suspect is cleared. A
 * quarantine lasts until its deadline all the same.
 */
void jh_suspects_succeeded(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint);

/* Sets *deadline, unless NULL, to the time until which the state lasts. */
enum jh_suspect_state jh_suspects_state(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint fingerprint, uint64_t *deadline);

/* Whether a request may run on an engine that already runs these n requests. */
enum jh_suspect_decision jh_suspects_may_run(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint fingerprint,
    const struct jh_fingerprint *running, size_t n);

/*
 * Copies up to max crashes that have changed since the given revision; 0 is
 * for all. Returns their number and sets *next to the revision to pass in the
 * next call. A max under JH_SUSPECT_MAX_CRASHES, the number of crashes kept of
 * one request, may yield nothing.
 */
#define JH_SUSPECT_MAX_CRASHES 4
size_t jh_suspects_export(const struct jh_suspects *s, uint64_t now,
    uint64_t since, struct jh_crash *out, size_t max, uint64_t *next);

/*
 * Merges the crashes exported by another process. Merging is commutative and
 * idempotent.
 */
void jh_suspects_merge(struct jh_suspects *s, uint64_t now,
    const struct jh_crash *crashes, size_t n);

/* Removes expired entries; to be called periodically. */
void jh_suspects_expire(struct jh_suspects *s, uint64_t now);

/* Returns the number of fingerprints in the table. */
size_t jh_suspects_len(const struct jh_suspects *s);

#endif
