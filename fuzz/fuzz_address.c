#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* What parses formats to text that parses to the same address. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	char *text = g_strndup((const char *)data, len);
	struct sockaddr_in first, again;
	char *formatted;

	if (jh_address_parse(text, &first)) {
		formatted = jh_address_format(&first);
		g_assert_true(jh_address_parse(formatted, &again));
		g_assert_cmpmem(&first, sizeof(first), &again, sizeof(again));
		g_free(formatted);
	}
	g_free(text);
	return 0;
}
