#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <jacinthhill/catalog.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A catalogue object: its key, a newline, its JSON. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const uint8_t *nl = memchr(data, '\n', size);
	struct jh_catalog *c;
	char *key, *json;

	if (nl == NULL)
		return 0;
	key = g_strndup((const char *)data, (gsize)(nl - data));
	json = g_strndup((const char *)nl + 1, size - (size_t)(nl - data) - 1);
	jh_record_check(key, jh_str_from(json), NULL);
	c = jh_catalog_create();
	jh_catalog_merge(c, key, 1, json);
	jh_catalog_advance(c, 1);
	jh_catalog_destroy(c);
	g_free(key);
	g_free(json);
	return 0;
}
