#include <stddef.h>

#include "ctl/ctl.h"
#include "ctl/settings.h"

const struct jh_setting ctl_settings_table[] = {
    {.key = "store",
	.type = JH_SET_ADDRESS,
	.required = true,
	.offset = offsetof(struct ctl_settings, store)},
    {.key = "control_key",
	.type = JH_SET_HEX32,
	.required = true,
	.offset = offsetof(struct ctl_settings, control_key)},
    {0}};

const struct ctl_settings_kind ctl_settings_kinds[] = {
    {"jhctl", ctl_settings_table, sizeof(struct ctl_settings)}, {0}};
