#ifndef JACINTHHILL_REFUSALS_H
#define JACINTHHILL_REFUSALS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

/*
 * Recorder of refused requests, counted by minute, owner and class. Each
 * process has one store object per hour, which holds its counts and which it
 * overwrites about once a minute; a report merges the objects of an hour. All
 * times are wall time in microseconds since the Unix epoch; hours and minutes
 * are numbered from the epoch. The rules are in docs/refusals.md.
 */
struct jh_refusals;

/* In bytes; longer owner or class names are counted in the overflow row. */
#define JH_REFUSALS_NAME_MAX 128

struct jh_refusals_settings {
	struct jh_str instance;
	uint64_t incarnation; /* of this process */
	size_t max_pairs; /* (owner, class) pairs in an hour */
	size_t max_bytes; /* of an object; the store takes 1 MB */
	size_t max_peers; /* peers listed in a record */
	size_t max_hours; /* kept in memory with counts during an outage */
};

#define JH_REFUSALS_DEFAULTS                                           \
	.max_pairs = 4096, .max_bytes = 900 * 1000, .max_peers = 1024, \
	.max_hours = 24

/* A write for the embedder to carry out; it reports the result with op. */
struct jh_refusals_write {
	uint64_t op;
	char *object;
	bool create; /* write only if absent, else only at this version */
	uint64_t version;
	char *value; /* JSON */
	size_t value_len;
};

struct jh_refusals *jh_refusals_create(
    const struct jh_refusals_settings *s, uint64_t now);
void jh_refusals_destroy(struct jh_refusals *r);

/* Counts one refusal in the minute of now. */
void jh_refusals_count(struct jh_refusals *r, uint64_t now, struct jh_str owner,
    struct jh_str class);

/*
 * Reports that a peer has responded to this process directly. What others say
 * about a peer must not be reported. A report on the hour shows peers without
 * an object as a gap.
 */
void jh_refusals_peer_seen(struct jh_refusals *r, uint64_t now,
    struct jh_str instance, uint64_t incarnation);

/* Returns a write that is due, NULL if none. The caller frees it. */
struct jh_refusals_write *jh_refusals_next(struct jh_refusals *r, uint64_t now);
void jh_refusals_write_free(struct jh_refusals_write *w);

/*
 * Reports the result of a write. For OK and CONFLICT, version is the present
 * one of the object.
 */
void jh_refusals_result(struct jh_refusals *r, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version);

/* When jh_refusals_next() may next return a write, or JH_NEVER. */
uint64_t jh_refusals_due(const struct jh_refusals *r);

/* The process stops and refuses no more requests; all writes are due now. */
void jh_refusals_close(struct jh_refusals *r, uint64_t now);

/* Whether the recorder is closed and nothing is left to write. */
bool jh_refusals_idle(const struct jh_refusals *r);

/*
 * Number of hours whose counts were dropped because the store was down for too
 * long. Reports show them as unaccounted.
 */
uint64_t jh_refusals_dropped(const struct jh_refusals *r);

/* Name prefix of an hour's objects, refusals/<hour>/; free with g_free(). */
char *jh_refusals_prefix(uint64_t hour);

#define JH_REFUSALS_ERROR (jh_refusals_error_quark())

enum jh_refusals_error {
	JH_REFUSALS_ERROR_NAME, /* not an object of this hour */
	JH_REFUSALS_ERROR_INVALID, /* malformed; its hour is unaccounted */
};

GQuark jh_refusals_error_quark(void);

/* Refusals of one owner and class in one minute. */
struct jh_refusal_row {
	const char *owner; /* NULL for the overflow row */
	const char *class;
	uint64_t minute;
	uint64_t count;
};

enum jh_refusal_gap_reason {
	JH_REFUSAL_GAP_NOT_CLOSED, /* crashed, or has not written yet */
	JH_REFUSAL_GAP_NO_OBJECT, /* seen by a peer, but has no object */
	JH_REFUSAL_GAP_UNREADABLE, /* the object is malformed */
};

/* Minutes for which the refusals of a process may be incomplete. */
struct jh_refusal_gap {
	const char *instance;
	uint64_t incarnation;
	uint64_t from; /* minute */
	uint64_t until; /* first minute after the gap */
	enum jh_refusal_gap_reason reason;
};

/* A report on one hour, merged from the objects of that hour. */
struct jh_refusal_report;

struct jh_refusal_report *jh_refusal_report_create(uint64_t hour);
void jh_refusal_report_destroy(struct jh_refusal_report *r);

/*
 * Adds one object; of two versions the one written later counts. On failure it
 * returns false and sets a JH_REFUSALS_ERROR; the report can still be used.
 */
bool jh_refusal_report_add(struct jh_refusal_report *r, const char *object,
    struct jh_str value, GError **err);

/* Computes the rows, and the gaps in minutes that have ended before now. */
void jh_refusal_report_finish(struct jh_refusal_report *r, uint64_t now);

/* Sorted by owner, class and minute; valid until the report changes. */
size_t jh_refusal_report_rows(
    const struct jh_refusal_report *r, const struct jh_refusal_row **rows);
size_t jh_refusal_report_gaps(
    const struct jh_refusal_report *r, const struct jh_refusal_gap **gaps);

/* Whether a record could not list every peer that its process saw. */
bool jh_refusal_report_peers_omitted(const struct jh_refusal_report *r);

#endif
