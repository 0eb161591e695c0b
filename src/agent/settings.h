#ifndef AGENT_SETTINGS_H
#define AGENT_SETTINGS_H

#include "base/auth.h"
#include "config/settings.h"

/* Settings of jhagent; docs/settings.md describes each key. */
struct agent_settings {
	char *instance;
	char *zone;
	char *region;
	struct sockaddr_in listen;
	struct sockaddr_in rpc_listen;
	struct jh_auth_key secret;
	struct sockaddr_in store;
	struct sockaddr_in instance_list;
	struct sockaddr_in backend;
	char *kind; /* engine or service */
	char *service;
	int64_t slots;
	int64_t prefill_rate;
	int64_t decode_rate;
	int64_t background_floor;
	int64_t max_queue;
	int64_t body_limit;
};

extern const struct jh_setting agent_settings_table[];

#endif
