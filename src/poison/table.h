#ifndef POISON_TABLE_H
#define POISON_TABLE_H

#include <glib.h>

#include "poison/entry.h"

/* A part that has had output, or a request that was completed. */
struct jh_suspect_output {
	struct jh_fingerprint part;
	uint64_t deadline; /* until when it counts */
};

/* Number of parts remembered to have had output. */
#define JH_SUSPECT_OUTPUTS 4096

/* The table of fingerprints and their crashes. */
struct jh_suspects {
	struct jh_suspects_settings settings;
	GHashTable *entries; /* fingerprint to entry; owns the entries */
	/* Indexed by the hash of the part; the latest part replaces another. */
	struct jh_suspect_output output[JH_SUSPECT_OUTPUTS];
	uint64_t revision; /* number of changes so far */
};

bool jh_fingerprint_in(
    const struct jh_fingerprint *list, size_t n, struct jh_fingerprint f);

struct jh_suspect_entry *jh_suspects_find(
    const struct jh_suspects *s, struct jh_fingerprint fingerprint);

/* Whether the part is remembered to have had output. */
bool jh_suspects_had_output(
    const struct jh_suspects *s, uint64_t now, struct jh_fingerprint part);
/* Remembers it. */
void jh_suspects_note_output(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint part);

/* The crashes of the entry, if there is one, no longer count. */
void jh_suspects_clear(
    struct jh_suspects *s, struct jh_fingerprint fingerprint);

/* A crash that is reported now; see jh_suspects_parts_crashed(). */
struct jh_suspect_crash jh_suspects_new_crash(const struct jh_suspects *s,
    uint64_t now, uint64_t alive, uint64_t reporter, uint64_t seq);

/* Adds a crash to the entry with this fingerprint. */
void jh_suspects_add_crash(struct jh_suspects *s, uint64_t now,
    struct jh_fingerprint fingerprint, const struct jh_suspect_crash *c);

/*
 * Whether other parts, which the request does not have, explain the crashes of
 * e. Parts that come together with a cause are then not taken for one.
 */
bool jh_suspects_is_explained(const struct jh_suspects *s, uint64_t now,
    const struct jh_suspect_entry *e, const struct jh_fingerprint *part,
    size_t n, bool with_output);

/* Finds or adds an entry; a full table evicts the least important one. */
struct jh_suspect_entry *jh_suspects_find_or_add(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint);

#endif
