#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

/*
 * A declarative YAML settings reader. A table of struct jh_setting names each
 * key and the field it fills; every fault in the file is reported in one run,
 * one "FILE:LINE: message" line each.
 */

enum jh_setting_type {
	JH_SET_STRING, /* char *, owned by the settings struct */
	JH_SET_INT, /* int64_t in [min, max] */
	JH_SET_BOOL, /* bool; true or false */
	JH_SET_ADDRESS, /* struct sockaddr_in; "A.B.C.D:PORT" */
	JH_SET_HEX32, /* uint8_t[32]; 64 hexadecimal digits */
	JH_SET_LIST, /* GPtrArray * of structs described by item */
	JH_SET_STRINGS, /* GPtrArray * of char * */
};

struct jh_setting {
	const char *key;
	enum jh_setting_type type;
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	const char *fallback; /* text used when an optional key is absent */
	const struct jh_setting *item; /* JH_SET_LIST: table of one element */
	size_t item_size;
	const char *const *choices; /* JH_SET_STRING: allowed, NULL-ended */
};

#define JH_SETTINGS_ERROR jh_settings_error_quark()
enum jh_settings_error {
	JH_SETTINGS_ERROR_READ, /* the file cannot be read */
	JH_SETTINGS_ERROR_INVALID /* the message lists every fault */
};
GQuark jh_settings_error_quark(void);

/*
 * Fills *out, which the caller has zeroed, from the file. The table ends with
 * a NULL key. Returns false and sets err on any fault; *out must be cleared
 * with jh_settings_clear() in both cases.
 */
bool jh_settings_load(
    const char *path, const struct jh_setting *table, void *out, GError **err);

/* The same for text in memory; name stands in place of the path. */
bool jh_settings_parse(const char *name, const char *text, size_t len,
    const struct jh_setting *table, void *out, GError **err);

void jh_settings_clear(const struct jh_setting *table, void *out);

/* Parses "A.B.C.D:PORT"; port 0 is allowed. */
bool jh_address_parse(const char *text, struct sockaddr_in *out);

/* Formats as "A.B.C.D:PORT"; free with g_free(). */
char *jh_address_format(const struct sockaddr_in *sin);

#endif
