#ifndef JACINTHHILL_REFUSALS_H
#define JACINTHHILL_REFUSALS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/store_result.h>
#include <jacinthhill/str.h>

/*
 * Minutes of refusal. Each process keeps one store object per hour with its
 * cumulative counts and overwrites it about once a minute; a report merges
 * the objects of an hour. All times are wall time in microseconds since the
 * Unix epoch, hours and minutes are whole ones since then. The rules are in
 * docs/refusals.md.
 */
struct jh_refusals;

/* Longer owner or class names are counted in the overflow row. */
#define JH_REFUSALS_NAME_MAX 128

struct jh_refusals_settings {
	struct jh_str instance;
	uint64_t incarnation;
	size_t max_pairs; /* (owner, class) rows of an hour */
	size_t max_bytes; /* of an hour's object; the store takes 1 MB */
	size_t max_seen; /* peers listed in an hour */
	size_t max_hours; /* held with their counts while the store is down */
};

#define JH_REFUSALS_DEFAULTS                                          \
	.max_pairs = 4096, .max_bytes = 900 * 1000, .max_seen = 1024, \
	.max_hours = 24

/* A write for the embedder to carry out and answer with its op. */
struct jh_refusals_write {
	uint64_t op;
	char *object;
	bool create; /* only if absent; else only at this version */
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

/* A peer answered this process itself; second-hand reports do not count. */
void jh_refusals_seen(struct jh_refusals *r, uint64_t now,
    struct jh_str instance, uint64_t incarnation);

/* Returns a write that is due, NULL if none; free it with the call below. */
struct jh_refusals_write *jh_refusals_next(struct jh_refusals *r, uint64_t now);
void jh_refusals_write_free(struct jh_refusals_write *w);

/* The version is the object's present one, for OK and CONFLICT. */
void jh_refusals_result(struct jh_refusals *r, uint64_t now, uint64_t op,
    enum jh_store_result result, uint64_t version);

/* When jh_refusals_next() may have something, JH_NEVER if it has not. */
uint64_t jh_refusals_due(const struct jh_refusals *r);

/* The process stops and refuses nothing more; writes are due at once. */
void jh_refusals_close(struct jh_refusals *r, uint64_t now);

/* After closing: nothing is left to write. */
bool jh_refusals_idle(const struct jh_refusals *r);

/* Hours whose counts were dropped because the store was down too long. They
 * are reported as unaccounted. */
uint64_t jh_refusals_dropped(const struct jh_refusals *r);

/* Prefix of an hour's objects, refusals/<hour>/; free with g_free(). */
char *jh_refusals_prefix(uint64_t hour);

#define JH_REFUSALS_ERROR (jh_refusals_error_quark())

enum jh_refusals_error {
	JH_REFUSALS_ERROR_NAME, /* not an object of this hour */
	JH_REFUSALS_ERROR_INVALID, /* malformed; counted as unaccounted */
};

GQuark jh_refusals_error_quark(void);

/* One owner and class in one minute. */
struct jh_refusal_row {
	const char *owner; /* NULL: the overflow row of all others */
	const char *class;
	uint64_t minute;
	uint64_t count;
};

enum jh_refusal_gap_reason {
	JH_REFUSAL_GAP_NOT_CLOSED, /* died, or has not written yet */
	JH_REFUSAL_GAP_NO_OBJECT, /* seen by a peer, wrote nothing */
	JH_REFUSAL_GAP_UNREADABLE,
};

/* Minutes in which an incarnation may have refused work uncounted. */
struct jh_refusal_gap {
	const char *instance;
	uint64_t incarnation;
	uint64_t from; /* minute */
	uint64_t until; /* first minute after the gap */
	enum jh_refusal_gap_reason reason;
};

/* Merges the objects of one hour. */
struct jh_refusal_report;

struct jh_refusal_report *jh_refusal_report_create(uint64_t hour);
void jh_refusal_report_destroy(struct jh_refusal_report *r);

/*
 * Adds one object; of two copies the later written one counts. Fails with
 * JH_REFUSALS_ERROR; the report stays usable.
 */
bool jh_refusal_report_add(struct jh_refusal_report *r, const char *object,
    struct jh_str value, GError **err);

/* Computes rows and gaps of the minutes that have ended before now. */
void jh_refusal_report_finish(struct jh_refusal_report *r, uint64_t now);

/* Sorted by owner, class and minute; valid until the report changes. */
size_t jh_refusal_report_rows(
    const struct jh_refusal_report *r, const struct jh_refusal_row **rows);
size_t jh_refusal_report_gaps(
    const struct jh_refusal_report *r, const struct jh_refusal_gap **gaps);

/* True if some record could not list every peer it saw. */
bool jh_refusal_report_peers_cut(const struct jh_refusal_report *r);

#endif
