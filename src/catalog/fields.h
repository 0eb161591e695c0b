#ifndef CATALOG_FIELDS_H
#define CATALOG_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/str.h>

/*
 * Reads the members of a JSON object into a struct, as a table of struct field
 * describes them. Strict: an unknown or duplicate member is a fault.
 */
enum field_type {
	FIELD_NAME, /* char *: jh_record_name_valid() */
	FIELD_TEXT, /* char *: any text of at most 256 bytes */
	FIELD_CHOICE, /* int: index in choices */
	FIELD_INT, /* int64_t in [min, max] */
	FIELD_BOOL, /* bool */
	FIELD_NAMES, /* char **: names, each once */
	FIELD_HASHES, /* char **: 64 lower-case hexadecimal digits each */
	FIELD_CUSTOM /* read by the caller of fields_read() */
};

/* One member of the JSON object, and where its value goes. */
struct field {
	const char *name;
	enum field_type type;
	size_t offset; /* in the struct that is filled */
	bool required;
	int64_t min;
	int64_t max;
	int64_t fallback; /* FIELD_INT, FIELD_BOOL, FIELD_CHOICE when absent */
	const char *const *choices; /* FIELD_CHOICE: names, NULL at the end */
};

/* Appends a line to the text that lists the faults. */
void field_fault(GString *faults, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/*
 * Parses text and fills *out, which the caller has zeroed. The table ends with
 * a NULL name. Appends every fault to faults. Returns the JSON object, from
 * which the caller reads the FIELD_CUSTOM members and which it releases with
 * json_decref(), or NULL if text is not a JSON object. Only in the latter case
 * a char ** of FIELD_NAMES or FIELD_HASHES may remain NULL.
 */
json_t *fields_read(
    struct jh_str text, const struct field *table, void *out, GString *faults);
/* Frees the strings and lists that fields_read() allocated in *out. */
void fields_clear(const struct field *table, void *out);

/*
 * Sets err (JH_RECORD_ERROR_INVALID) if there are faults, and frees the text.
 * Returns whether there were none.
 */
bool fields_finish(GString *faults, GError **err);

#endif
