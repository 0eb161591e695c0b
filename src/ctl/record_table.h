#ifndef CTL_RECORD_TABLE_H
#define CTL_RECORD_TABLE_H

#include <jansson.h>

#include <jacinthhill/record.h>

#include "config/settings.h"

/* How one kind of catalogue file is laid out. */
struct record_table {
	const char *name; /* value of "record" */
	const struct jh_setting *table;
	size_t size; /* of the struct that the table fills */
};

/* NULL for JH_RECORD_OTHER. */
const struct record_table *record_table_of(enum jh_record_kind kind);
/* JH_RECORD_OTHER when no table has the name. */
enum jh_record_kind record_table_find(const char *name);

/* The object as stored: without "record" and "version". */
json_t *record_table_json(const struct jh_setting *table, const void *in);

/* The version member, which every table has. */
int64_t record_table_version(const struct jh_setting *table, const void *in);

#endif
