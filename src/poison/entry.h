#ifndef POISON_ENTRY_H
#define POISON_ENTRY_H

#include <jacinthhill/suspects.h>

/* Crashes in all that quarantine a request. */
#define JH_SUSPECT_LIMIT 3

struct jh_suspect_crash {
	uint64_t reporter;
	uint64_t seq;
	uint64_t deadline;
	bool sole;
	bool cleared;
};

/* What is known of one fingerprint. */
struct jh_suspect_entry {
	struct jh_fingerprint print; /* first: the hash table's key */
	uint64_t rev; /* of the last change */
	/* The latest crashes; ascending by deadline, reporter, seq. */
	struct jh_suspect_crash crash[JH_SUSPECT_CRASHES];
	unsigned int n;
	unsigned int hint; /* crashes according to Jh-Crashes */
	uint64_t hint_deadline;
};

enum jh_suspect_state jh_suspect_entry_state(
    const struct jh_suspect_entry *e, uint64_t now, uint64_t *deadline);

/* Latest deadline of all, cleared ones included. */
uint64_t jh_suspect_entry_last(const struct jh_suspect_entry *e);

/* Adds or merges one crash; returns true if that changed the entry. */
bool jh_suspect_entry_put(
    struct jh_suspect_entry *e, const struct jh_suspect_crash *c);

#endif
