#ifndef MEMBER_LEASE_RECORD_H
#define MEMBER_LEASE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <jacinthhill/str.h>

/* The content of a lease object. */
struct lease_record {
	char holder[64];
	uint64_t incarnation;
	uint64_t deadline; /* wall-clock microseconds; 0: released */
	uint64_t nonce; /* identifies the write */
};

/* Returns JSON; the caller frees it with g_free(). */
char *lease_record_format(const struct lease_record *r);
/* Malformed content gives an empty record, which is a released lease. */
void lease_record_parse(struct lease_record *r, struct jh_str text);

#endif
