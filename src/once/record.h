#ifndef ONCE_RECORD_H
#define ONCE_RECORD_H

#include <glib.h>

#include <jacinthhill/ledger.h>

#define JH_CALL_RECORD_ERROR (jh_call_record_error_quark())

enum jh_call_record_error {
	JH_CALL_RECORD_ERROR_INVALID, /* not a call record, or a field is wrong
				       */
};

enum jh_record_state {
	JH_RECORD_STARTED,
	JH_RECORD_DONE,
	JH_RECORD_LOST, /* sent, and the answer is lost for good */
};

/* The stored record of one idempotency key. */
struct jh_record {
	enum jh_record_state state;
	struct jh_nonce nonce;
	char *agent;
	char *request_hash;
	struct jh_call_answer *answer; /* NULL: not done, or not kept */
};

GQuark jh_call_record_error_quark(void);

/* Returns JSON text; free it with g_free(). */
char *jh_record_encode(const struct jh_record *r, size_t *len);

/* Fails with JH_CALL_RECORD_ERROR on anything but a whole, valid record. */
bool jh_record_decode(struct jh_str text, struct jh_record *r, GError **err);
void jh_record_clear(struct jh_record *r);

#endif
