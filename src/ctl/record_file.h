#ifndef CTL_RECORD_FILE_H
#define CTL_RECORD_FILE_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/record.h>

/* A catalogue object, read from an operator's file. */
struct record_file {
	char *key;
	uint64_t version; /* that the file replaces; 0: the object is new */
	json_t *value;
	char *text; /* the value as it is stored */
};

/*
 * Reads a YAML or JSON file; free *out with record_file_clear(). Returns false
 * if the file cannot be read or is not valid; err then lists every error.
 */
bool record_file_load(const char *path, struct record_file *out, GError **err);
void record_file_clear(struct record_file *r);

/* Whether the text has the key "record", which marks catalogue files. */
bool record_file_is_record(const char *text);

/* Formats an object and its version as YAML; free with g_free(). */
char *record_file_format(const char *key, uint64_t version, json_t *value);

#endif
