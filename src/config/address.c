#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "config/settings.h"

bool
jh_address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	guint64 port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		return false;
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

char *
jh_address_format(const struct sockaddr_in *sin)
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &sin->sin_addr, host, sizeof(host));
	return g_strdup_printf("%s:%u", host, ntohs(sin->sin_port));
}
