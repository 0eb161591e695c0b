#ifndef CTL_SETTINGS_H
#define CTL_SETTINGS_H

#include "config/settings.h"

/* A kind of settings file that "jhctl check" can check. */
struct ctl_settings_kind {
	const char *name; /* of the program */
	const struct jh_setting *table;
	size_t size; /* of the struct that the table fills */
};

/* The kinds of settings files; ends with a NULL name. */
extern const struct ctl_settings_kind ctl_settings_kinds[];
extern const struct jh_setting ctl_settings_table[];

#endif
