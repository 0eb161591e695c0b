#ifndef JACINTHHILL_RECORD_H
#define JACINTHHILL_RECORD_H

#include <stdbool.h>

#include <glib.h>

#include <jacinthhill/str.h>

/*
 * The JSON objects that operators keep in the store, told apart by the prefix
 * of their key. Codecs are strict: unknown members are faults, and one run
 * names every fault.
 */

#define JH_RECORD_PREFIX_ENTRY "catalog/"
#define JH_RECORD_PREFIX_ORG "orgs/"
#define JH_RECORD_PREFIX_MODEL "models/"
/* What daemons list and watch. */
#define JH_RECORD_PREFIXES "catalog/,orgs/,models/"

enum jh_record_kind {
	JH_RECORD_ENTRY,
	JH_RECORD_ORG,
	JH_RECORD_MODEL,
	JH_RECORD_OTHER /* no key of the catalogue */
};

#define JH_RECORD_ERROR jh_record_error_quark()
enum jh_record_error {
	JH_RECORD_ERROR_INVALID, /* the message has one line per fault */
	JH_RECORD_ERROR_KEY /* the content names another key, or a bad one */
};
GQuark jh_record_error_quark(void);

enum jh_record_kind jh_record_kind_of(const char *key);

/*
 * Names of organisations, classes, models and regions: 1 to 64 of a-z, 0-9,
 * "-", "_" and ".", starting with a letter or digit.
 */
bool jh_record_name_valid(const char *name);

/* Whether text is a valid record for this key. */
bool jh_record_check(const char *key, struct jh_str text, GError **err);

/* The key that the record's own names give; NULL when they are missing. */
char *jh_record_key(enum jh_record_kind kind, struct jh_str text);

#endif
