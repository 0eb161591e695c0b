#ifndef REFUSE_SLOT_H
#define REFUSE_SLOT_H

#include "refuse/hour.h"

/* The record of one hour and the state of writing it to the store. */
struct jh_refusal_slot {
	struct jh_refusal_hour *record;
	bool exists; /* the object is known to exist */
	uint64_t version; /* of the object */
	uint64_t op; /* write in progress, 0 if none */
	uint64_t due; /* time of the next write */
	unsigned int failures; /* consecutive */
	uint64_t changes; /* number of changes of the counts */
	uint64_t written_changes; /* value of changes at the last write */
	bool counts_dropped; /* the hour is reported as unaccounted */
};

struct jh_refusal_slot *jh_refusal_slot_create(struct jh_refusal_hour *record);
void jh_refusal_slot_free(struct jh_refusal_slot *s);

/* Drops the counts of an hour that was never written, to free memory. */
void jh_refusal_slot_drop_counts(struct jh_refusal_slot *s);

/* Prepares the record for a write: updates covered_until and closed. */
void jh_refusal_slot_begin_write(
    struct jh_refusal_slot *s, uint64_t now, bool stopping);

/*
 * Handles the result of a write. Returns true if nothing is left to write, so
 * that the slot can be removed.
 */
bool jh_refusal_slot_end_write(struct jh_refusal_slot *s, uint64_t now,
    uint64_t phase, enum jh_store_result result, uint64_t version);

#endif
