#ifndef FAKE_LIST_FILE_H
#define FAKE_LIST_FILE_H

#include <glib.h>
#include <jansson.h>

/*
 * Reads the instances in a YAML or JSON file. Returns a JSON array that the
 * caller owns, or NULL with *err set.
 */
json_t *fake_list_load(const char *path, GError **err);

#endif
