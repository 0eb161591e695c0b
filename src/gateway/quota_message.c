#include <glib.h>

#include "gateway/quota_message.h"
#include "gateway/wire.h"

/* Quota, period, its age, admitted and asked cost. */
#define RECORD_LEN (8 + 4 + 4 + 8 + 8)
#define MAX_RECORDS 43

/* Costs are sent in sixteenths: requests count 1, tokens many. */
#define COST_UNIT 16.0

/* Longer ages are sent as this one. */
#define MAX_AGE_MSEC UINT32_MAX

/* Refunds can make the admitted cost of a period negative. */
static void
put_cost(unsigned char **at, double cost)
{
	jh_wire_put(at, (uint64_t)(int64_t)(cost * COST_UNIT), 8);
}

static double
take_cost(const unsigned char **at)
{
	return (double)(int64_t)jh_wire_take(at, 8) / COST_UNIT;
}

size_t
jh_quota_message_write(struct jh_quota_ledger *l, uint64_t now, size_t *next,
    unsigned char *out, size_t max)
{
	struct jh_quota_record record[MAX_RECORDS];
	size_t n = jh_quota_ledger_export(
	    l, now, record, MIN(max / RECORD_LEN, MAX_RECORDS), next);
	unsigned char *at = out;
	size_t i;

	for (i = 0; i < n; i++) {
		jh_wire_put(&at, record[i].quota, 8);
		jh_wire_put(&at, record[i].period, 4);
		jh_wire_put(&at,
		    MIN(record[i].age / JH_USEC_PER_MSEC, MAX_AGE_MSEC), 4);
		put_cost(&at, record[i].admitted);
		put_cost(&at, record[i].asked);
	}
	return (size_t)(at - out);
}

bool
jh_quota_message_read(struct jh_quota_ledger *l, uint64_t now, uint64_t peer,
    const unsigned char *in, size_t len)
{
	const unsigned char *at = in;
	struct jh_quota_record r;
	size_t i;

	if (len % RECORD_LEN != 0 || len / RECORD_LEN > MAX_RECORDS)
		return false;
	for (i = 0; i < len / RECORD_LEN; i++) {
		r.quota = jh_wire_take(&at, 8);
		r.period = (uint32_t)jh_wire_take(&at, 4);
		r.age = jh_wire_take(&at, 4) * JH_USEC_PER_MSEC;
		r.admitted = take_cost(&at);
		r.asked = take_cost(&at);
		jh_quota_ledger_merge(l, now, peer, &r);
	}
	return true;
}
