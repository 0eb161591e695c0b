#ifndef CONFIG_SETTINGS_H
#define CONFIG_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

/*
 * Reads YAML settings into a struct, as a table of struct jh_setting describes
 * it. All faults of a file are reported at once, each in a line of the form
 * "FILE:LINE: message".
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

/* One key, and the member of the settings struct that it fills. */
struct jh_setting {
	const char *key;
	enum jh_setting_type type;
	size_t offset; /* in the settings struct */
	bool required;
	int64_t min; /* JH_SET_INT */
	int64_t max;
	const char *fallback; /* text that is used if the key is absent */
	const struct jh_setting *item; /* JH_SET_LIST: table of an element */
	size_t item_size; /* JH_SET_LIST: bytes of an element's struct */
	const char *const *choices; /* JH_SET_STRING: NULL at the end */
};

#define JH_SETTINGS_ERROR jh_settings_error_quark()
enum jh_settings_error {
	JH_SETTINGS_ERROR_READ, /* the file cannot be read */
	JH_SETTINGS_ERROR_INVALID /* the message has a line for each fault */
};
GQuark jh_settings_error_quark(void);

/*
 * Fills *out, which the caller has zeroed, from a file. The table ends with a
 * NULL key. Returns false and sets err on any fault. In both cases the caller
 * must free what *out holds with jh_settings_clear().
 */
bool jh_settings_load(
    const char *path, const struct jh_setting *table, void *out, GError **err);

/* The same for text in memory; messages have name in place of the path. */
bool jh_settings_parse(const char *name, const char *text, size_t len,
    const struct jh_setting *table, void *out, GError **err);

/* Frees the strings and lists of *out, but not *out itself. */
void jh_settings_clear(const struct jh_setting *table, void *out);

/* Parses "A.B.C.D:PORT", also with port 0. Returns false on other text. */
bool jh_address_parse(const char *text, struct sockaddr_in *out);

/* Formats as "A.B.C.D:PORT"; the caller frees the string with g_free(). */
char *jh_address_format(const struct sockaddr_in *sin);

#endif
