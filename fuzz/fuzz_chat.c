#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "entry/chat_request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The body of a caller's chat request. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct jh_str body = {(const char *)data, size};
	struct jh_prefix_scope scope = {
	    JH_STR("small"), JH_STR("v1"), JH_STR("org")};
	struct jh_prefix prefix;
	struct chat_request c;
	const char *detail;

	if (chat_request_parse(&c, body, &detail) == CHAT_OK) {
		chat_request_prefix(&c, &scope, 1, &prefix);
		free(chat_request_resumed(body, 7, JH_STR("so far")));
	}
	chat_request_clear(&c);
	return 0;
}
