#ifndef FAKE_LIST_FILE_H
#define FAKE_LIST_FILE_H

#include <glib.h>
#include <jansson.h>

/* Reads a YAML (or JSON) file of instances; returns a JSON array. */
json_t *fake_list_load(const char *path, GError **err);

#endif
