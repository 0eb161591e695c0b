#ifndef MEMBER_LEASE_RECORD_H
#define MEMBER_LEASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/* Content of a lease object. */
struct lease_record {
	char holder[64];
	uint64_t incarnation;
	uint64_t deadline; /* wall clock; 0: released */
	uint64_t nonce; /* of the write */
};

/* Free the result with g_free(). */
char *lease_record_format(const struct lease_record *r);
/* Content that does not parse gives a released lease. */
void lease_record_parse(struct lease_record *r, struct jh_str text);

#endif
