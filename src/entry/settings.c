#include "config/daemon.h"
#include "entry/settings.h"

#define AT(f) offsetof(struct entry_settings, f)

static const char *const policies[] = {"affinity", "rendezvous",
    "rendezvous_whole", "least_load", "round_robin", NULL};

const struct jh_setting entry_settings_table[] = {
    DAEMON_SETTINGS(struct entry_settings),
    {.key = "policy",
	.type = JH_SET_STRING,
	.fallback = "affinity",
	.choices = policies,
	.offset = AT(policy)},
    {.key = "http_threads",
	.type = JH_SET_INT,
	.min = 1,
	.max = 64,
	.fallback = "1",
	.offset = AT(http_threads)},
    {.key = "max_connections",
	.type = JH_SET_INT,
	.min = 16,
	.max = 100000,
	.fallback = "4096",
	.offset = AT(max_connections)},
    {.key = "body_limit",
	.type = JH_SET_INT,
	.min = 1024,
	.max = 256 << 20,
	.fallback = "16777216",
	.offset = AT(body_limit)},
    {.key = "prefill_rate",
	.type = JH_SET_INT,
	.min = 1,
	.max = 100000000,
	.fallback = "40000",
	.offset = AT(prefill_rate)},
    {.key = "decode_rate",
	.type = JH_SET_INT,
	.min = 1,
	.max = 100000000,
	.fallback = "800",
	.offset = AT(decode_rate)},
    {0}};
