#ifndef ENTRY_REPLY_H
#define ENTRY_REPLY_H

#include "http/server.h"

/* Whether the caller's work ran. */
enum entry_ran { ENTRY_NOT_RUN, ENTRY_RAN, ENTRY_UNKNOWN };

/* One row of the errors in docs/callers.md. */
enum entry_error {
	ENTRY_ERR_BAD_JSON,
	ENTRY_ERR_BAD_REQUEST,
	ENTRY_ERR_UNKNOWN_MODEL,
	ENTRY_ERR_UNAUTHORIZED,
	ENTRY_ERR_WRONG_ORGANISATION,
	ENTRY_ERR_MISSING_KEY,
	ENTRY_ERR_KEY_REUSED,
	ENTRY_ERR_CLASS_NOT_ALLOWED,
	ENTRY_ERR_LIMIT_EXCEEDED,
	ENTRY_ERR_NO_CAPACITY,
	ENTRY_ERR_DEADLINE,
	ENTRY_ERR_STORE,
	ENTRY_ERR_OUTCOME_UNKNOWN,
	ENTRY_ERR_ANSWER_NOT_KEPT,
	ENTRY_ERR_QUARANTINED,
	ENTRY_ERR_STREAM_LOST,
	ENTRY_ERR_NOT_FOUND,
	ENTRY_ERR_SHUTTING_DOWN,
	ENTRY_ERRORS
};

/* Replies with the JSON error; the caller keeps its reference. */
void entry_reply_error(struct jh_http_req *req, enum entry_error code,
    enum entry_ran ran, const char *detail);

/* The JSON text of an error; free with g_free(). */
char *entry_error_json(
    enum entry_error code, enum entry_ran ran, const char *detail);

#endif
