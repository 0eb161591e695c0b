#ifndef JACINTHHILL_STORE_RESULT_H
#define JACINTHHILL_STORE_RESULT_H

/* Result of a call to the object store. */
enum jh_store_result {
	JH_STORE_OK, /* written, or read and found */
	JH_STORE_NOT_FOUND,
	JH_STORE_CONFLICT, /* the condition failed; nothing was written */
	JH_STORE_UNAVAILABLE, /* a write cannot have taken effect */
	JH_STORE_UNKNOWN, /* a write may have taken effect, or may yet do so */
	JH_STORE_THROTTLED, /* over the rate limit; nothing was written */
	JH_STORE_EXPIRED, /* watch: the revision is too old, list again */
	JH_STORE_INVALID /* the store rejected the request (HTTP 4xx) */
};

#endif
