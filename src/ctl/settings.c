#include <stddef.h>

#include "agent/settings.h"
#include "ctl/ctl.h"
#include "ctl/settings.h"
#include "entry/settings.h"

const struct jh_setting ctl_settings_table[] = {
    {.key = "store",
	.type = JH_SET_ADDRESS,
	.required = true,
	.offset = offsetof(struct ctl_settings, store)},
    {.key = "secret",
	.type = JH_SET_HEX32,
	.required = true,
	.offset = offsetof(struct ctl_settings, secret)},
    {.key = "instance_list",
	.type = JH_SET_ADDRESS,
	.offset = offsetof(struct ctl_settings, instance_list)},
    {0}};

const struct ctl_settings_kind ctl_settings_kinds[] = {
    {"jhctl", ctl_settings_table, sizeof(struct ctl_settings)},
    {"jhentry", entry_settings_table, sizeof(struct entry_settings)},
    {"jhagent", agent_settings_table, sizeof(struct agent_settings)}, {0}};
