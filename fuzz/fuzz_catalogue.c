#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <jacinthhill/catalog.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is a catalogue object: its key, a newline and its JSON. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *newline = memchr(data, '\n', size);
	struct jh_catalog *c;
	char *key, *json;

	if (newline == NULL)
		return 0;
	key = g_strndup((const char *)data, (gsize)(newline - data));
	json = g_strndup(
	    (const char *)newline + 1, size - (size_t)(newline - data) - 1);
	jh_record_check(key, jh_str_from(json), NULL);
	c = jh_catalog_create();
	jh_catalog_merge(c, key, 1, json);
	jh_catalog_advance(c, 1);
	jh_catalog_destroy(c);
	g_free(key);
	g_free(json);
	return 0;
}
