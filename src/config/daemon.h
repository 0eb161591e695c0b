#ifndef CONFIG_DAEMON_H
#define CONFIG_DAEMON_H

#include "config/settings.h"

/* One row of a settings table: a required key and the member it fills. */
#define DAEMON_SETTING(type_, struct_, key_, field_)          \
	{                                                     \
		.key = key_, .type = type_, .required = true, \
		.offset = offsetof(struct_, field_),          \
	}

/* Rows for the settings that jhentry and jhagent have in common. */
#define DAEMON_SETTINGS(s)                                               \
	DAEMON_SETTING(JH_SET_STRING, s, "instance", instance),          \
	    DAEMON_SETTING(JH_SET_STRING, s, "availability_zone", zone), \
	    DAEMON_SETTING(JH_SET_STRING, s, "region", region),          \
	    DAEMON_SETTING(JH_SET_ADDRESS, s, "listen", listen),         \
	    DAEMON_SETTING(JH_SET_ADDRESS, s, "rpc_listen", rpc_listen), \
	    DAEMON_SETTING(JH_SET_HEX32, s, "secret", secret),           \
	    DAEMON_SETTING(JH_SET_ADDRESS, s, "store", store),           \
	    DAEMON_SETTING(JH_SET_ADDRESS, s, "instance_list", instance_list)

#endif
