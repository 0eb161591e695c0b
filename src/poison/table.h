#ifndef POISON_TABLE_H
#define POISON_TABLE_H

#include <glib.h>

#include "poison/entry.h"

struct jh_suspects {
	struct jh_suspects_settings set;
	GHashTable *entries; /* owns struct jh_suspect_entry */
	uint64_t rev;
};

struct jh_suspect_entry *jh_suspects_find(
    const struct jh_suspects *s, struct jh_fingerprint print);

/* Finds or adds; if the table is full the least important entry goes. */
struct jh_suspect_entry *jh_suspects_open(
    struct jh_suspects *s, uint64_t now, struct jh_fingerprint print);

#endif
