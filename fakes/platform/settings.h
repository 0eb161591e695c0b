#ifndef FAKES_PLATFORM_SETTINGS_H
#define FAKES_PLATFORM_SETTINGS_H

#include <stdbool.h>

/*
 * Settings that differ between the router instances of a test; loopback ports.
 */
struct fake_router_settings {
	const char *name;
	unsigned int clients, readiness, metrics, store;
	unsigned int grace_sec;
	unsigned int memory_mb; /* 0: 110 */
};

/* Writes a settings file for jhplatform; returns false on an error. */
bool fake_router_settings_write(
    const char *path, const struct fake_router_settings *s);

#endif
