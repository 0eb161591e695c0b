#ifndef CTL_EDIT_H
#define CTL_EDIT_H

#include "ctl/ctl.h"

/* An edit of a catalogue object, made only if its version is if_version. */
struct edit {
	const char *key;
	const char *text; /* NULL: delete */
	uint64_t if_version;
};

struct edit_outcome {
	enum jh_store_result result; /* JH_STORE_OK, _CONFLICT, or an error */
	uint64_t version; /* after the edit, or the current one; 0: absent */
	char *current; /* CONFLICT: the current value; free with g_free() */
};

/*
 * Makes the edit. If the response is lost, the object is read back; the edit
 * counts as made if the object has its content, because the effect is the same.
 */
void edit_run(struct ctl *c, const struct edit *e, struct edit_outcome *out);

#endif
