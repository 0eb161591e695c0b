#ifndef ONCE_RECORD_H
#define ONCE_RECORD_H

#include <glib.h>

#include <jacinthhill/ledger.h>

#define JH_CALL_RECORD_ERROR (jh_call_record_error_quark())

enum jh_call_record_error {
	/* Not a call record, or a field is invalid. */
	JH_CALL_RECORD_ERROR_INVALID,
};

enum jh_record_state {
	JH_RECORD_STARTED, /* a nonce is recorded; the call may run */
	JH_RECORD_DONE, /* the call ran */
	JH_RECORD_LOST, /* the call was sent and its response is lost */
};

/* The record of one idempotency key in the store. */
struct jh_record {
	enum jh_record_state state;
	struct jh_nonce nonce; /* permission under which the call runs */
	char *agent; /* address of the agent that issued the nonce */
	char *request_hash;
	struct jh_call_response *response; /* NULL unless done and kept */
};

GQuark jh_call_record_error_quark(void);

/* Returns JSON text; free it with g_free(). */
char *jh_record_encode(const struct jh_record *r, size_t *len);

/*
 * Fails with JH_CALL_RECORD_ERROR unless the text is one complete, valid
 * record; free the result with jh_record_clear().
 */
bool jh_record_decode(struct jh_str text, struct jh_record *r, GError **err);
void jh_record_clear(struct jh_record *r);

#endif
