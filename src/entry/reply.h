#ifndef ENTRY_REPLY_H
#define ENTRY_REPLY_H

#include "http/server.h"

/* Whether the request was executed, as the field "ran" of an error states. */
enum entry_outcome { ENTRY_NOT_RUN, ENTRY_RAN, ENTRY_OUTCOME_UNKNOWN };

/* Errors sent to clients; docs/callers.md lists them. */
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

/*
 * Replies with the error as JSON; detail, unless NULL, is added to the message.
 * The caller keeps its reference to req.
 */
void entry_reply_error(struct jh_http_req *req, enum entry_error code,
    enum entry_outcome outcome, const char *detail);

/* Returns the JSON text of an error; free it with g_free(). */
char *entry_error_json(
    enum entry_error code, enum entry_outcome outcome, const char *detail);

#endif
