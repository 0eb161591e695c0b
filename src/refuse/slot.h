#ifndef REFUSE_SLOT_H
#define REFUSE_SLOT_H

#include "refuse/hour.h"

/* One hour's counts and the state of writing them. */
struct jh_refusal_slot {
	struct jh_refusal_hour *data;
	bool exists; /* the object is known to exist */
	uint64_t version; /* of the object */
	uint64_t op; /* outstanding write, 0 if none */
	uint64_t due;
	unsigned int tries; /* failures in a row */
	uint64_t changes; /* grows with each change of the counts */
	uint64_t written; /* changes in the outstanding or last write */
	bool stub; /* counts dropped; to be shown as unaccounted */
};

struct jh_refusal_slot *jh_refusal_slot_create(struct jh_refusal_hour *data);
void jh_refusal_slot_free(struct jh_refusal_slot *s);

/* Drops the counts of an hour that was never written. */
void jh_refusal_slot_strip(struct jh_refusal_slot *s);

/* Brings the coverage up to now before a write. */
void jh_refusal_slot_cover(
    struct jh_refusal_slot *s, uint64_t now, bool stopping);

/* Returns true if nothing is left to write. */
bool jh_refusal_slot_result(struct jh_refusal_slot *s, uint64_t now,
    uint64_t phase, enum jh_store_result result, uint64_t version);

#endif
