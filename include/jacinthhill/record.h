#ifndef JACINTHHILL_RECORD_H
#define JACINTHHILL_RECORD_H

#include <stdbool.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * The JSON objects that operators keep in the store. The prefix of the key
 * tells the kind. Parsers are strict: unknown members are faults, and all
 * faults are reported at once.
 */

#define JH_RECORD_PREFIX_ENTRY "catalog/"
#define JH_RECORD_PREFIX_ORG "orgs/"
#define JH_RECORD_PREFIX_MODEL "models/"
/* All prefixes, as jh_store_list() and jh_store_watch() take them. */
#define JH_RECORD_PREFIXES "catalog/,orgs/,models/"

enum jh_record_kind {
	JH_RECORD_ENTRY,
	JH_RECORD_ORG,
	JH_RECORD_MODEL,
	JH_RECORD_OTHER /* the key is not one of the catalogue */
};

#define JH_RECORD_ERROR jh_record_error_quark()
enum jh_record_error {
	JH_RECORD_ERROR_INVALID, /* the message has a line for each fault */
	JH_RECORD_ERROR_KEY /* the key is bad or does not match the text */
};
GQuark jh_record_error_quark(void);

enum jh_record_kind jh_record_kind_of(const char *key);

/*
 * Whether this is a valid name of an organisation, class, model or region: 1 to
 * 64 characters of a-z, 0-9, "-", "_" and ".", the first a letter or digit.
 */
bool jh_record_name_valid(const char *name);

/* Whether text is a valid record for this key; otherwise sets err. */
bool jh_record_check(const char *key, struct jh_str text, GError **err);

/*
 * Returns the key that follows from the names in the record, or NULL if they
 * are missing. The caller frees it with g_free().
 */
char *jh_record_key(enum jh_record_kind kind, struct jh_str text);

#endif
