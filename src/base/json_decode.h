#ifndef BASE_JSON_DECODE_H
#define BASE_JSON_DECODE_H

#include <jansson.h>

#include <jacinthhill/str.h>

/* Deepest nesting that is kept. */
#define JH_JSON_MAX_DEPTH 64

/*
 * Decodes a JSON text, in which objects of several writers may be listed.
 * Jansson's own decoder rejects the whole text for one value that it cannot
 * represent; here such a value becomes null: a string with a NUL or bytes that
 * are no UTF-8, a number that fits neither 64 bits nor a double, and what is
 * nested too deeply. A member with such a name is left out. Returns a new
 * reference, or NULL if the text is no JSON.
 */
json_t *jh_json_decode(struct jh_str text);

#endif
