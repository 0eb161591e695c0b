#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "base/auth.h"
#include "config/settings.h"

/* Settings of jhentry; docs/settings.md explains each key. */
struct entry_settings {
	char *instance;
	char *zone;
	char *region;
	struct sockaddr_in listen;
	struct sockaddr_in rpc_listen;
	struct jh_auth_key secret;
	struct sockaddr_in store;
	struct sockaddr_in instance_list;
	char *policy;
	int64_t http_threads;
	int64_t max_connections;
	int64_t body_limit;
	int64_t prefill_rate;
	int64_t decode_rate;
};

extern const struct jh_setting entry_settings_table[];

#endif
