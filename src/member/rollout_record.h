#ifndef MEMBER_ROLLOUT_RECORD_H
#define MEMBER_ROLLOUT_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/* One worker that is, or may be, out of service. */
struct rollout_seat {
	char *instance;
	uint64_t incarnation;
	uint64_t deadline; /* wall clock */
	uint64_t nonce; /* of the reservation */
};

/*
 * The object rollout/<region>/<model>, an array of struct rollout_seat. What
 * does not parse is left out.
 */
GArray *rollout_record_parse(struct jh_str text);
/* Free the result with g_free(). */
char *rollout_record_format(const GArray *seats);

/* NULL when the instance has none. */
struct rollout_seat *rollout_record_find(
    const GArray *seats, const char *instance);
void rollout_record_remove(GArray *seats, const char *instance);
/* Removes what ended before the time. */
void rollout_record_expire(GArray *seats, uint64_t before);

#endif
