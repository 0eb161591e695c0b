#ifndef CTL_RECORD_TABLE_H
#define CTL_RECORD_TABLE_H

#include <jansson.h>

#include <jacinthhill/record.h>

#include "config/settings.h"

/* The layout of one kind of catalogue file. */
struct record_table {
	const char *name; /* value of the key "record" */
	const struct jh_setting *table;
	size_t size; /* of the struct that the table fills */
};

/* Returns NULL for JH_RECORD_OTHER. */
const struct record_table *record_table_of(enum jh_record_kind kind);
/* Returns JH_RECORD_OTHER if no table has the name. */
enum jh_record_kind record_table_find(const char *name);

/* Returns the object as stored: without "record" and "version". */
json_t *record_table_json(const struct jh_setting *table, const void *in);

/* Returns the field "version", which every table has. */
int64_t record_table_version(const struct jh_setting *table, const void *in);

#endif
