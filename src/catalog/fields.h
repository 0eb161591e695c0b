#ifndef CATALOG_FIELDS_H
#define CATALOG_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/str.h>

/* Members of a record, read from a strict JSON object. */
enum field_type {
	FIELD_NAME, /* char *: jh_record_name_valid() */
	FIELD_TEXT, /* char *: any text of at most 256 bytes */
	FIELD_CHOICE, /* int: index in choices */
	FIELD_INT, /* int64_t in [min, max] */
	FIELD_BOOL, /* bool */
	FIELD_NAMES, /* char **: names, each once */
	FIELD_HASHES, /* char **: 64 lower-case hexadecimal digits each */
	FIELD_CUSTOM /* read by the record itself */
};

struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	int64_t fallback; /* FIELD_INT, FIELD_BOOL, FIELD_CHOICE when absent */
	const char *const *choices;
};

/* Appends one line to the list of faults. */
void field_fault(GString *faults, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/*
 * Fills *out, zeroed by the caller, by a table that ends with a NULL name.
 * Returns the object, for custom members, or NULL when text is no object.
 * In that case alone a char ** may stay NULL.
 */
json_t *fields_read(
    struct jh_str text, const struct field *table, void *out, GString *faults);
void fields_clear(const struct field *table, void *out);

/* Turns faults into err and frees them; returns whether there were none. */
bool fields_finish(GString *faults, GError **err);

#endif
