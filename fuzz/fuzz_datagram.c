#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/clock.h>
#include <jacinthhill/suspects.h>

#include "gateway/crash_message.h"
#include "gateway/quota_message.h"
#include "gateway/rate_message.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define NOW (1000 * JH_USEC_PER_SEC)
#define PEER 7
#define QUOTA 0x4141414141414141 /* as in the corpus */
#define MAX_LEN 1440

/* The input is the records of a datagram of crashes, rate limits or quotas. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct jh_suspects_settings settings = {
	    JH_SUSPECTS_DEFAULTS};
	struct jh_rate_limits *limits = jh_rate_limits_create(NOW);
	struct jh_suspects *suspects = jh_suspects_create(&settings);
	static const struct jh_quota_rate rate = {1000, 1000};
	struct jh_quota_ledger *quotas = jh_quota_ledger_create(NOW);
	unsigned char out[MAX_LEN];
	size_t next = 0, next_quota = 0;

	jh_quota_ledger_add_peer(quotas, PEER);
	jh_quota_ledger_peer_heard(quotas, NOW, PEER);
	jh_quota_ledger_set(quotas, NOW, QUOTA, &rate);
	(void)jh_crash_message_read(suspects, NOW, data, size);
	(void)jh_rate_message_read(limits, NOW, PEER, data, size);
	(void)jh_quota_message_read(quotas, NOW, PEER, data, size);
	(void)jh_quota_ledger_admit(
	    quotas, NOW + 1, QUOTA, &(struct jh_quota_request){.cost = 1});
	(void)jh_crash_message_write(suspects, NOW, 0, 0, out, sizeof(out));
	(void)jh_rate_message_write(limits, NOW, &next, out, sizeof(out));
	(void)jh_quota_message_write(
	    quotas, NOW + 2, &next_quota, out, sizeof(out));
	jh_quota_ledger_destroy(quotas);
	jh_suspects_destroy(suspects);
	jh_rate_limits_destroy(limits);
	return 0;
}
