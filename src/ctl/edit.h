#ifndef CTL_EDIT_H
#define CTL_EDIT_H

#include "ctl/ctl.h"

/* One edit of a catalogue object on condition of the version read. */
struct edit {
	const char *key;
	const char *text; /* NULL: delete */
	uint64_t if_version;
};

struct edit_outcome {
	enum jh_store_result result; /* OK, CONFLICT, or why it failed */
	uint64_t version; /* OK: of the edit; CONFLICT: current, 0: absent */
	char *current; /* CONFLICT: the current value; free with g_free() */
};

/*
 * Makes the edit. A lost answer is settled by reading back: an object with the
 * edit's content counts as done, because its effect is in force.
 */
void edit_run(struct ctl *c, const struct edit *e, struct edit_outcome *out);

#endif
