#ifndef JACINTHHILL_SUSPECTS_H
#define JACINTHHILL_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Requests that crash the engines that run them. A request in one crash is a
 * suspect and runs beside no other suspect; a crash while it is the only
 * suspect, or a third crash, quarantines it. Times are microseconds of the
 * process's own clock. The rules are in docs/poison.md.
 */
struct jh_suspects;

/* XXH3-128 of the organisation and the request body. */
struct jh_fingerprint {
	uint64_t high;
	uint64_t low;
};

struct jh_fingerprint jh_fingerprint_of(struct jh_str org, struct jh_str body);

struct jh_suspects_settings {
	size_t max_entries; /* fingerprints held */
	uint64_t hold_usec; /* after the last crash: suspect or quarantined */
};

#define JH_SUSPECTS_DEFAULTS .max_entries = 4096, .hold_usec = 600 * 1000000ULL

enum jh_suspect_state {
	JH_SUSPECT_NONE,
	JH_SUSPECT_SUSPECT,
	JH_SUSPECT_QUARANTINED,
};

enum jh_suspect_verdict {
	JH_SUSPECT_RUN,
	JH_SUSPECT_WAIT, /* or go elsewhere: another suspect runs here */
	JH_SUSPECT_REFUSE, /* request_quarantined */
};

/* One fingerprint in one crash, as exchanged between processes. */
struct jh_crash {
	struct jh_fingerprint print;
	uint64_t reporter; /* incarnation of the agent */
	uint64_t seq; /* of the crash at that agent */
	uint64_t remaining_usec; /* until it no longer counts */
	bool sole; /* it was the only suspect in the batch */
	bool cleared; /* it has since run with success */
};

struct jh_suspects *jh_suspects_create(const struct jh_suspects_settings *s);
void jh_suspects_destroy(struct jh_suspects *s);

/*
 * An engine died while these requests ran on it. The agent's incarnation and
 * its own number of the crash name it; a report that is repeated changes
 * nothing.
 */
void jh_suspects_crashed(struct jh_suspects *s, uint64_t now, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *batch, size_t n);

/* A request came with Jh-Crashes. Known only here until it expires. */
void jh_suspects_hint(struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint print, unsigned int crashes);

/* The request ran to its end; a quarantine stays until its deadline. */
void jh_suspects_succeeded(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint print);

/* The deadline is that of the state; NULL if not wanted. */
enum jh_suspect_state jh_suspects_state(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint print, uint64_t *deadline);

/* May it run on an engine beside these? */
enum jh_suspect_verdict jh_suspects_may_run(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint print,
    const struct jh_fingerprint *running, size_t n);

/*
 * Copies up to max crashes that changed after revision since, 0 for all, and
 * sets *next to the revision to ask for the following time. A max under
 * JH_SUSPECT_CRASHES may yield nothing.
 */
#define JH_SUSPECT_CRASHES 4
size_t jh_suspects_export(const struct jh_suspects *s, uint64_t now,
    uint64_t since, struct jh_crash *out, size_t max, uint64_t *next);

/* Merges another process's crashes; order and repetition do not matter. */
void jh_suspects_merge(struct jh_suspects *s, uint64_t now,
    const struct jh_crash *crashes, size_t n);

/* Forgets what has expired; call now and then. */
void jh_suspects_expire(struct jh_suspects *s, uint64_t now);

size_t jh_suspects_len(const struct jh_suspects *s);

#endif
