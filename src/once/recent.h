#ifndef ONCE_RECENT_H
#define ONCE_RECENT_H

#include <jacinthhill/ledger.h>

enum jh_result {
	JH_RESULT_DONE,
	JH_RESULT_NOT_KEPT,
	JH_RESULT_LOST,
};

/* The result of the call with one key. */
struct jh_recent_entry {
	char *object;
	char *request_hash;
	enum jh_result result;

	struct jh_call_answer *response;
};

/* Cache of results, bounded in entries and bytes; evicts the oldest. */
struct jh_recent;

struct jh_recent *jh_recent_create(size_t max, size_t max_bytes);
void jh_recent_destroy(struct jh_recent *r);

/*
 * Adds a result, replacing that of the same object. Copies the strings and
 * takes a reference to the response. A result over max_bytes is not cached.
 */
void jh_recent_put(struct jh_recent *r, const struct jh_recent_entry *e);
const struct jh_recent_entry *jh_recent_get(
    struct jh_recent *r, const char *object);
void jh_recent_remove(struct jh_recent *r, const char *object);

#endif
