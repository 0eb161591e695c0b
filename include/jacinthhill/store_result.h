#ifndef JACINTHHILL_STORE_RESULT_H
#define JACINTHHILL_STORE_RESULT_H

/* What came of one operation on the object store. */
enum jh_ledger_store_result {
	JH_LEDGER_STORE_OK, /* written, or read and found */
	JH_LEDGER_STORE_CONFLICT, /* not written; the object has another version */
	JH_LEDGER_STORE_NOT_FOUND,
	JH_LEDGER_STORE_UNAVAILABLE, /* certainly not written */
	JH_LEDGER_STORE_NO_ANSWER, /* a write may have taken effect, now or later */
};

#endif
