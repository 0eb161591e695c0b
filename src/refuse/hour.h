#ifndef REFUSE_HOUR_H
#define REFUSE_HOUR_H

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#define JH_USEC_PER_MINUTE (60 * JH_USEC_PER_SEC)
#define JH_USEC_PER_HOUR (60 * JH_USEC_PER_MINUTE)
#define JH_MINUTES 60

struct jh_refusal_cell {
	unsigned int minute; /* of the hour */
	uint64_t count;
};

struct jh_refusal_pair {
	char *owner;
	char *class;
	GArray *cells; /* of struct jh_refusal_cell, minutes ascending */
};

struct jh_refusal_peer {
	char *instance;
	uint64_t incarnation;
	unsigned int from; /* first minute in which it was seen */
};

/* The content of one object: one incarnation in one hour. */
struct jh_refusal_hour {
	uint64_t hour;
	char *instance;
	uint64_t incarnation;
	uint64_t write; /* number of the write; the highest is the latest */
	unsigned int from; /* minute of the hour in which coverage begins */
	unsigned int covered_until; /* first minute not yet complete */
	bool closed; /* nothing is refused past covered_until */
	uint64_t late; /* refusals of closed hours, counted here */
	GPtrArray *pairs; /* of struct jh_refusal_pair */
	GHashTable *by_name; /* "owner\nclass" to its pair */
	uint64_t overflow[JH_MINUTES];
	GPtrArray *seen; /* of struct jh_refusal_peer */
	uint64_t seen_cut; /* sightings of peers beyond the bound */
	size_t bytes; /* upper bound of the encoded size */
};

struct jh_refusal_hour *jh_refusal_hour_create(
    uint64_t hour, const char *instance, uint64_t incarnation);
void jh_refusal_hour_free(struct jh_refusal_hour *h);

/* Adds to a cell; false if that would exceed a bound. */
bool jh_refusal_hour_add(struct jh_refusal_hour *h, size_t max_pairs,
    size_t max_bytes, struct jh_str owner, struct jh_str class,
    unsigned int minute, uint64_t count);

/* Lists a peer; false if that would exceed a bound. */
bool jh_refusal_hour_see(struct jh_refusal_hour *h, size_t max_seen,
    size_t max_bytes, struct jh_str instance, uint64_t incarnation,
    unsigned int minute);

char *jh_refusal_hour_name(const struct jh_refusal_hour *h);
char *jh_refusal_hour_encode(const struct jh_refusal_hour *h, size_t *len);

/* Fails with JH_REFUSALS_ERROR_INVALID. */
struct jh_refusal_hour *jh_refusal_hour_decode(
    struct jh_str text, GError **err);

#endif
