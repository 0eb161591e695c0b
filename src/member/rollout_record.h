#ifndef MEMBER_ROLLOUT_RECORD_H
#define MEMBER_ROLLOUT_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/str.h>

/* The reservation of a worker that is or may be out of service. */
struct rollout_reservation {
	char *instance;
	uint64_t incarnation;
	uint64_t deadline; /* wall-clock microseconds */
	uint64_t nonce; /* identifies this reservation */
};

/*
 * Parses the object rollout/<region>/<model> into an array of struct
 * rollout_reservation, which the caller frees. Malformed elements are left out.
 */
GArray *rollout_record_parse(struct jh_str text);
/* Returns JSON; the caller frees it with g_free(). */
char *rollout_record_format(const GArray *reservations);

/* Returns NULL if the instance has no reservation. */
struct rollout_reservation *rollout_record_find(
    const GArray *reservations, const char *instance);
void rollout_record_remove(GArray *reservations, const char *instance);
/* Removes reservations whose deadline is before that time. */
void rollout_record_expire(GArray *reservations, uint64_t before);

#endif
