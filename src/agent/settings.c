#include "agent/settings.h"

#define AT(f) offsetof(struct agent_settings, f)

static const char *const kinds[] = {"engine", "service", NULL};

const struct jh_setting agent_settings_table[] = {
	{.key = "instance", .type = JH_SET_STRING, .required = true,
	    .offset = AT(instance)},
	{.key = "availability_zone", .type = JH_SET_STRING, .required = true,
	    .offset = AT(zone)},
	{.key = "region", .type = JH_SET_STRING, .required = true,
	    .offset = AT(region)},
	{.key = "listen", .type = JH_SET_ADDRESS, .required = true,
	    .offset = AT(listen)},
	{.key = "rpc_listen", .type = JH_SET_ADDRESS, .required = true,
	    .offset = AT(rpc_listen)},
	{.key = "secret", .type = JH_SET_HEX32, .required = true,
	    .offset = AT(secret)},
	{.key = "store", .type = JH_SET_ADDRESS, .required = true,
	    .offset = AT(store)},
	{.key = "instance_list", .type = JH_SET_ADDRESS, .required = true,
	    .offset = AT(instance_list)},
	{.key = "backend", .type = JH_SET_ADDRESS, .required = true,
	    .offset = AT(backend)},
	{.key = "kind", .type = JH_SET_STRING, .required = true,
	    .choices = kinds, .offset = AT(kind)},
	{.key = "service", .type = JH_SET_STRING, .fallback = "",
	    .offset = AT(service)},
	{.key = "slots", .type = JH_SET_INT, .min = 1, .max = 4096,
	    .fallback = "16", .offset = AT(slots)},
	{.key = "prefill_rate", .type = JH_SET_INT, .min = 1,
	    .max = 100000000, .fallback = "40000", .offset = AT(prefill_rate)},
	{.key = "decode_rate", .type = JH_SET_INT, .min = 1, .max = 100000000,
	    .fallback = "800", .offset = AT(decode_rate)},
	{.key = "background_floor_percent", .type = JH_SET_INT, .min = 0,
	    .max = 50, .fallback = "10", .offset = AT(background_floor)},
	{.key = "max_queue", .type = JH_SET_INT, .min = 1, .max = 1000000,
	    .fallback = "1024", .offset = AT(max_queue)},
	{.key = "body_limit", .type = JH_SET_INT, .min = 1024,
	    .max = 256 << 20, .fallback = "16777216",
	    .offset = AT(body_limit)},
	{0}};
