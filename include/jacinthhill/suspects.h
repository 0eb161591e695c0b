#ifndef JACINTHHILL_SUSPECTS_H
#define JACINTHHILL_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/*
 * Detects requests that crash the engine that runs them ("poison" requests), as
 * a whole or by a part of their prompt that other requests share. A request
 * that was running on an engine when it crashed is a suspect, and is not run
 * together with another suspect. If an engine crashes while the request is its
 * only suspect, or the request is in a third crash, it is quarantined. A part
 * is quarantined by its third crash without a success in between, one that has
 * had a success before by its fifth. Times are
 * microseconds of the process's own clock. The rules are in docs/poison.md.
 */
struct jh_suspects;

/*
 * Identifies a request (XXH3-128 of its organisation and body), or a part that
 * requests share.
 */
struct jh_fingerprint {
	uint64_t high;
	uint64_t low;
};

struct jh_fingerprint jh_fingerprint_of(struct jh_str org, struct jh_str body);
/* hash: of the part's content or id. */
struct jh_fingerprint jh_fingerprint_of_part(uint64_t hash);
bool jh_fingerprint_is_part(struct jh_fingerprint fingerprint);
/* The same part, in crashes before a response head; see below. */
struct jh_fingerprint jh_fingerprint_unbegun(struct jh_fingerprint part);
bool jh_fingerprint_is_unbegun(struct jh_fingerprint fingerprint);
/* A request, in crashes after a response head; see below. */
struct jh_fingerprint jh_fingerprint_midway(struct jh_fingerprint request);
bool jh_fingerprint_is_midway(struct jh_fingerprint fingerprint);
/* Of engines that ended, whatever they were running. */
struct jh_fingerprint jh_fingerprint_of_ended(void);
bool jh_fingerprint_is_ended(struct jh_fingerprint fingerprint);

/* Number of crashes that quarantine a request or a part in any case. */
#define JH_SUSPECT_QUARANTINE_CRASHES 3

/*
 * So many crashes of a part do not count if it has had output: sound parts are
 * in crashes of other causes, and a part that crashes engines has no output.
 */
#define JH_SUSPECT_OUTPUT_CRASHES 2

/* A request with a part that was in so many crashes is not retried. */
#define JH_SUSPECT_NO_RETRY_CRASHES 2

/*
 * Crashes of a part within this time count once: engines that end together for
 * another reason do not show what each of them was running.
 */
#define JH_SUSPECT_CRASH_GAP_USEC 250000ULL

/*
 * Before a response head, such crashes count as this many at most: less than a
 * quarantine takes.
 */
#define JH_SUSPECT_MOMENT_CRASHES (JH_SUSPECT_QUARANTINE_CRASHES - 1)

/*
 * So many of them do not count against a part that requests share: it may wait
 * at many engines.
 */
#define JH_SUSPECT_SHARED_CRASHES 2

/*
 * An engine that ends sooner after it was sent a request may have ended before:
 * a request on a kept connection reaches nobody then.
 */
#define JH_SUSPECT_MIN_RUN_USEC 10000ULL

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
	uint64_t width_usec; /* how much earlier it may have been, at most */
	bool sole; /* the request was the only suspect in the batch */
	bool cleared; /* the request has since run successfully */
	bool had_output; /* of a part: it is known to have had output */
};

struct jh_suspects *jh_suspects_create(const struct jh_suspects_settings *s);
void jh_suspects_destroy(struct jh_suspects *s);

/*
 * Reports that an engine crashed while it ran the n requests of the batch. The
 * last n_begun of them have had output, in this run or in the one that it
 * resumes. The crash is identified by the agent's incarnation and its number at
 * that agent; repeating a report changes nothing.
 */
void jh_suspects_crashed(struct jh_suspects *s, uint64_t now, uint64_t reporter,
    uint64_t seq, const struct jh_fingerprint *batch, size_t n, size_t n_begun);

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

/*
 * Reports that a stream which a crash broke off has gone on beyond that point:
 * the request is not the cause of its crashes so far. A quarantine as the only
 * suspect lasts all the same.
 */
void jh_suspects_progressed(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint);

/* Sets *deadline, unless NULL, to the time until which the state lasts. */
enum jh_suspect_state jh_suspects_state(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint fingerprint, uint64_t *deadline);

/* Whether a request may run on an engine that already runs these n requests. */
enum jh_suspect_decision jh_suspects_may_run(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint fingerprint,
    const struct jh_fingerprint *running, size_t n);

/*
 * Reports that an engine crashed while it began to respond to a request with
 * these parts, without any output yet. alive: when the caller last knew it
 * running, earlier than now if the caller was paused; crashes that may have
 * been at one moment count once. One crash may be reported several times,
 * with different parts, also by different processes that give it the same
 * reporter and number.
 */
void jh_suspects_parts_crashed(struct jh_suspects *s, uint64_t now,
    uint64_t alive, uint64_t reporter, uint64_t seq,
    const struct jh_fingerprint *part, size_t n);

/*
 * The same for an engine that had not begun to respond to the request. A crash
 * breaks all requests that wait at an engine in this way, so such crashes are
 * counted apart, see jh_suspects_unbegun_crashes(). sent: when the request was
 * sent to the engine.
 */
void jh_suspects_unbegun_crashed(struct jh_suspects *s, uint64_t now,
    uint64_t alive, uint64_t sent, uint64_t reporter, uint64_t seq,
    const struct jh_fingerprint *part, size_t n);

/*
 * Reports that an engine crashed in the middle of its response to the request,
 * a fingerprint of a part. A crash breaks all responses of its engine, so only
 * repeated crashes of the same request without a complete response in between
 * speak against it.
 */
void jh_suspects_midway_crashed(struct jh_suspects *s, uint64_t now,
    uint64_t alive, uint64_t reporter, uint64_t seq,
    struct jh_fingerprint request);

/* Reports a complete response: the crashes midway so far no longer count. */
void jh_suspects_completed(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint request);

/*
 * Returns the number of crashes midway that speak against the request; it is
 * refused from JH_SUSPECT_QUARANTINE_CRASHES on. The first
 * JH_SUSPECT_OUTPUT_CRASHES of one that has had a complete response do not
 * count. Sets *deadline, unless NULL, to the time until which they count.
 */
unsigned int jh_suspects_midway_crashes(const struct jh_suspects *s,
    uint64_t now, struct jh_fingerprint request, uint64_t *deadline);

/* Reports that an engine is found to have ended, whatever it was running. */
void jh_suspects_engine_ended(struct jh_suspects *s, uint64_t now,
    uint64_t alive, uint64_t reporter, uint64_t seq);

/*
 * Reports the first output of a request with these parts, which shows that none
 * of them crashes engines: their crashes so far no longer count.
 */
void jh_suspects_parts_succeeded(struct jh_suspects *s, uint64_t now,
    const struct jh_fingerprint *part, size_t n);

/*
 * Reports that the engine of a reported crash has not ended: the crash no
 * longer counts.
 */
void jh_suspects_crash_voided(
    struct jh_suspects *s, uint64_t reporter, uint64_t seq);

/*
 * Returns the number of crashes of the part of a request that was in most of
 * them; it is refused from JH_SUSPECT_QUARANTINE_CRASHES on. The first
 * JH_SUSPECT_OUTPUT_CRASHES of a part that has had output do not count. A part
 * does not count if other parts, which the request does not have, were in all
 * the same crashes but one: each of these is quarantined or was in all of them.
 * Sets *deadline, unless NULL, to the time until which the number lasts.
 */
unsigned int jh_suspects_parts_crashes(const struct jh_suspects *s,
    uint64_t now, const struct jh_fingerprint *part, size_t n,
    uint64_t *deadline);

/*
 * The same for crashes before a response head; the last part is the request
 * itself. Those of a part that has had output do not count, nor the first
 * JH_SUSPECT_SHARED_CRASHES of one that requests share, nor those at a moment
 * at which most engines ended without the part.
 */
unsigned int jh_suspects_unbegun_crashes(const struct jh_suspects *s,
    uint64_t now, const struct jh_fingerprint *part, size_t n,
    uint64_t *deadline);

/*
 * Like jh_suspects_parts_crashes(), but without regard to earlier output, for
 * those who retry seldom.
 */
unsigned int jh_suspects_parts_all_crashes(const struct jh_suspects *s,
    uint64_t now, const struct jh_fingerprint *part, size_t n);

/* Returns the number of parts that are quarantined, by any count. */
size_t jh_suspects_parts_quarantined(const struct jh_suspects *s, uint64_t now);

/*
 * Copies up to max crashes that have changed since the given revision; 0 is
 * for all. Returns their number and sets *next to the revision to pass in the
 * next call. A max under JH_SUSPECT_MAX_CRASHES, the number of crashes kept of
 * one request, may yield nothing.
 */
#define JH_SUSPECT_MAX_CRASHES 16
size_t jh_suspects_export(const struct jh_suspects *s, uint64_t now,
    uint64_t since, struct jh_crash *out, size_t max, uint64_t *next);

/*
 * The same for a message of limited size: copies quarantined fingerprints,
 * whenever they changed, then others that changed since, the latest first;
 * those of crashes before a response head come last. Fingerprints that do not
 * fit come first in another turn: pass a number that rises with each message.
 */
size_t jh_suspects_export_latest(const struct jh_suspects *s, uint64_t now,
    uint64_t since, uint64_t turn, struct jh_crash *out, size_t max);
/* Rises whenever crashes change. */
uint64_t jh_suspects_revision(const struct jh_suspects *s);

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
