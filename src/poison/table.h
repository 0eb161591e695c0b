#ifndef POISON_TABLE_H
#define POISON_TABLE_H

#include <glib.h>

#include "poison/entry.h"

/* A part that has had output. */
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

/* Finds or adds an entry; a full table evicts the least important one. */
struct jh_suspect_entry *jh_suspects_find_or_add(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint fingerprint);

#endif
