#ifndef POISON_ENTRY_H
#define POISON_ENTRY_H

#include <jacinthhill/suspects.h>

/* One crash in which the request was running; see struct jh_crash. */
struct jh_suspect_crash {
	uint64_t reporter;
	uint64_t seq;
	uint64_t deadline; /* until when it counts */
	uint64_t width_usec; /* how much earlier it may have been, at most */
	bool sole;
	bool cleared;
	bool had_output; /* a part had output before this crash or after it */
};

/* The crashes of requests with one fingerprint. */
struct jh_suspect_entry {
	/* The hash table's key; first member. */
	struct jh_fingerprint fingerprint;
	uint64_t revision; /* of the table at the last change */
	/* The latest crashes, sorted by deadline, reporter and seq. */
	struct jh_suspect_crash crash[JH_SUSPECT_MAX_CRASHES];
	unsigned int n; /* length of crash */
	unsigned int hint; /* number of crashes according to Jh-Crashes */
	uint64_t hint_deadline;
};

/* The crashes of an entry at one moment: from first to before end. */
struct jh_suspect_moment {
	const struct jh_suspect_entry *entry;
	unsigned int first, end; /* first is entry->n after the last moment */
};

/*
 * Returns the first moment from that index on, which begins with a crash that
 * is not cleared.
 */
struct jh_suspect_moment jh_suspect_entry_next_moment(
    const struct jh_suspect_entry *e, unsigned int from);

/* Returns what the moment counts for if the engines had not begun to respond.
 */
unsigned int jh_suspect_moment_crashes(const struct jh_suspect_moment *m);

/* Returns the index of the crash, or e->n if the entry doesn't have it. */
unsigned int jh_suspect_entry_find(
    const struct jh_suspect_entry *e, uint64_t reporter, uint64_t seq);

/* Whether the crash may have been at the moment of one with that deadline. */
bool jh_suspect_crash_at(const struct jh_suspect_crash *c, uint64_t deadline);

/* Sets *deadline, unless NULL, to the time until which the state lasts. */
enum jh_suspect_state jh_suspect_entry_state(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline);

/*
 * Returns the number of crashes of a part that count, without those that
 * another part, unless NULL, was in too. Sets *deadline, unless NULL, to the
 * time until which they count.
 */
unsigned int jh_suspect_entry_part_crashes(const struct jh_suspect_entry *e,
    const struct jh_suspect_entry *except, uint64_t now, uint64_t *deadline);

/* Whether a part is known to have had output; a cause seldom has. */
bool jh_suspect_entry_had_output(const struct jh_suspect_entry *e);

/*
 * Returns the number of crashes that speak against a part: all that count, or,
 * if it has had output, all but JH_SUSPECT_OUTPUT_CRASHES, at least one.
 */
unsigned int jh_suspect_entry_part_evidence(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline);

/*
 * The same for crashes before a response head: those at one moment count as
 * JH_SUSPECT_MOMENT_CRASHES at most. 0 if the part has had output.
 */
unsigned int jh_suspect_entry_unbegun_evidence(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline);

/* Removes the crashes that other was in too; returns whether there were any. */
bool jh_suspect_entry_remove(
    struct jh_suspect_entry *e, const struct jh_suspect_entry *other);

/* Returns the latest deadline, that of cleared crashes included. */
uint64_t jh_suspect_entry_last_deadline(const struct jh_suspect_entry *e);

/* Adds or merges one crash; returns true if that changed the entry. */
bool jh_suspect_entry_merge(
    struct jh_suspect_entry *e, const struct jh_suspect_crash *c);

#endif
