#include <glib.h>

#include "gateway/rate_message.h"
#include "gateway/wire.h"

/* Worker, its start, limit, age of the response, demand, flags. */
#define RECORD_LEN (8 + 6 + 4 + 4 + 1 + 1)
#define MAX_RECORDS 58

#define FLAG_OBSERVED 1U
#define FLAG_LIMITED 2U

/* Limits are sent in thousandths of a request a second. */
#define LIMIT_UNIT 1000.0

/* Longer ages are sent as this one. */
#define MAX_AGE_MSEC UINT32_MAX

static void
put_record(unsigned char **at, const struct jh_rate_record *r)
{
	double limit = MIN(r->limit * LIMIT_UNIT, (double)UINT32_MAX);
	uint64_t age = r->age / JH_USEC_PER_MSEC;

	jh_wire_put(at, r->worker, 8);
	jh_wire_put(at, r->started_ms, 6);
	jh_wire_put(at, (uint64_t)limit, 4);
	jh_wire_put(at, MIN(age, MAX_AGE_MSEC), 4);
	jh_wire_put(at, r->demand, 1);
	jh_wire_put(at,
	    (r->observed ? FLAG_OBSERVED : 0) | (r->limited ? FLAG_LIMITED : 0),
	    1);
}

static struct jh_rate_record
take_record(const unsigned char **at)
{
	struct jh_rate_record r;
	uint64_t flags;

	r.worker = jh_wire_take(at, 8);
	r.started_ms = jh_wire_take(at, 6);
	r.limit = (double)jh_wire_take(at, 4) / LIMIT_UNIT;
	r.age = jh_wire_take(at, 4) * JH_USEC_PER_MSEC;
	r.demand = (unsigned int)jh_wire_take(at, 1);
	flags = jh_wire_take(at, 1);
	r.observed = (flags & FLAG_OBSERVED) != 0;
	r.limited = (flags & FLAG_LIMITED) != 0;
	return r;
}

size_t
jh_rate_message_write(const struct jh_rate_limits *l, uint64_t now,
    size_t *next, unsigned char *out, size_t max)
{
	struct jh_rate_record record[MAX_RECORDS];
	size_t n = jh_rate_limits_export(
	    l, now, record, MIN(max / RECORD_LEN, MAX_RECORDS), next);
	unsigned char *at = out;
	size_t i;

	for (i = 0; i < n; i++)
		put_record(&at, &record[i]);
	return (size_t)(at - out);
}

bool
jh_rate_message_read(struct jh_rate_limits *l, uint64_t now, uint64_t peer,
    const unsigned char *in, size_t len)
{
	const unsigned char *at = in;
	struct jh_rate_record r;
	size_t i;

	if (len % RECORD_LEN != 0 || len / RECORD_LEN > MAX_RECORDS)
		return false;
	for (i = 0; i < len / RECORD_LEN; i++) {
		r = take_record(&at);
		jh_rate_limits_merge(l, now, peer, &r);
	}
	return true;
}
