#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Formatting a parsed address and parsing the text gives the same address. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	char *text = g_strndup((const char *)data, len);
	struct sockaddr_in address, reparsed;
	char *formatted;

	if (jh_address_parse(text, &address)) {
		formatted = jh_address_format(&address);
		g_assert_true(jh_address_parse(formatted, &reparsed));
		g_assert_cmpmem(
		    &address, sizeof(address), &reparsed, sizeof(reparsed));
		g_free(formatted);
	}
	g_free(text);
	return 0;
}
