#ifndef JACINTHHILL_STORE_RESULT_H
#define JACINTHHILL_STORE_RESULT_H

/* What came of one operation on the object store. */
enum jh_store_result {
	JH_STORE_OK, /* written, or read and found */
	JH_STORE_NOT_FOUND,
	JH_STORE_CONFLICT, /* the condition failed; nothing was written */
	JH_STORE_UNAVAILABLE, /* nothing can have taken effect */
	JH_STORE_UNKNOWN, /* a write may have taken effect, or may yet */
	JH_STORE_THROTTLED, /* over the store's rate; nothing was written */
	JH_STORE_EXPIRED, /* watch: the revision is too old, list again */
	JH_STORE_INVALID /* the store rejects the request itself */
};

#endif
