#ifndef REFUSE_HOUR_H
#define REFUSE_HOUR_H

#include <jacinthhill/clock.h>
#include <jacinthhill/refusals.h>

#define JH_USEC_PER_MINUTE (60 * JH_USEC_PER_SEC)
#define JH_USEC_PER_HOUR (60 * JH_USEC_PER_MINUTE)
#define JH_MINUTES_PER_HOUR 60

/* Refusals of one (owner, class) pair in one minute. */
struct jh_refusal_minute {
	unsigned int minute; /* of the hour */
	uint64_t count;
};

/* Refusals of one owner in one class, by minute. */
struct jh_refusal_pair {
	char *owner;
	char *class;
	GArray *minutes; /* of struct jh_refusal_minute, by ascending minute */
};

/* Another process that was seen running in the hour. */
struct jh_refusal_peer {
	char *instance;
	uint64_t incarnation;
	unsigned int from; /* first minute in which it was seen */
};

/* The record in one store object: the refusals of one process in one hour. */
struct jh_refusal_hour {
	uint64_t hour; /* since the Unix epoch */
	char *instance;
	uint64_t incarnation;
	uint64_t write_number; /* the highest is the latest write */
	unsigned int from; /* minute of the hour in which coverage begins */
	unsigned int covered_until; /* first minute that is not complete */
	bool closed; /* no refusals follow from covered_until on */
	uint64_t late; /* refusals of earlier, closed hours counted here */
	GPtrArray *pairs; /* of struct jh_refusal_pair */
	GHashTable *by_name; /* "owner\nclass" to its pair */
	/* Refusals by minute that could not be added to a pair. */
	uint64_t overflow[JH_MINUTES_PER_HOUR];
	GPtrArray *peers; /* of struct jh_refusal_peer */
	uint64_t peers_omitted; /* peers' responses that could not be listed */
	size_t bytes; /* upper bound of the encoded size */
};

struct jh_refusal_hour *jh_refusal_hour_create(
    uint64_t hour, const char *instance, uint64_t incarnation);
void jh_refusal_hour_free(struct jh_refusal_hour *h);

/* Adds to the count of a minute; false if that would exceed a limit. */
bool jh_refusal_hour_add(struct jh_refusal_hour *h, size_t max_pairs,
    size_t max_bytes, struct jh_str owner, struct jh_str class,
    unsigned int minute, uint64_t count);

/* Lists a peer; false if that would exceed a limit. */
bool jh_refusal_hour_add_peer(struct jh_refusal_hour *h, size_t max_peers,
    size_t max_bytes, struct jh_str instance, uint64_t incarnation,
    unsigned int minute);

/* Name of the store object; free with g_free(). */
char *jh_refusal_hour_name(const struct jh_refusal_hour *h);
/* Encodes the record as JSON; free with g_free(). */
char *jh_refusal_hour_encode(const struct jh_refusal_hour *h, size_t *len);

/* Returns NULL and JH_REFUSALS_ERROR_INVALID if the text is malformed. */
struct jh_refusal_hour *jh_refusal_hour_decode(
    struct jh_str text, GError **err);

#endif
