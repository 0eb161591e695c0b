#ifndef CTL_RECORD_FILE_H
#define CTL_RECORD_FILE_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include <jacinthhill/record.h>

/* A catalogue object as an operator's file gives it. */
struct record_file {
	char *key;
	uint64_t version; /* that the operator read; 0: the object is new */
	json_t *value;
	char *text; /* value as stored */
};

/*
 * Reads a YAML or JSON file. Returns false and sets err, with every fault, if
 * it cannot be read or is not valid.
 */
bool record_file_load(const char *path, struct record_file *out, GError **err);
void record_file_clear(struct record_file *r);

/* Whether the text has the "record" member that marks catalogue files. */
bool record_file_recognises(const char *text);

/* The YAML form of an object, with its version; free with g_free(). */
char *record_file_format(const char *key, uint64_t version, json_t *value);

#endif
