#ifndef FAKES_PLATFORM_SETTINGS_H
#define FAKES_PLATFORM_SETTINGS_H

#include <stdbool.h>

/* What differs between entries of a test; ports are on loopback. */
struct fake_entry_settings {
	const char *name;
	unsigned int clients, readiness, metrics, store;
	unsigned int grace_sec;
};

/* Writes a settings file of jhplatform; returns whether that went well. */
bool fake_entry_settings_write(
    const char *path, const struct fake_entry_settings *s);

#endif
