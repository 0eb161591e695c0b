#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "entry/chat_request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
build_resumed_body(struct jh_str text)
{
	GBytes *bytes = g_bytes_new(text.ptr, text.len);
	struct jh_body *body = jh_body_create(NULL, bytes);

	free(chat_request_resume_body(body, 7, JH_STR("so far")));
	jh_body_unref(body);
	g_bytes_unref(bytes);
}

/* The input is the body of a client's chat request. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct jh_str body = {(const char *)data, size};
	struct jh_prefix_scope scope = {
	    JH_STR("small"), JH_STR("v1"), JH_STR("org")};
	struct jh_prefix prefix;
	struct chat_request c;
	const char *detail;

	if (chat_request_parse(&c, NULL, body, &detail) == CHAT_OK) {
		chat_request_prefix(&c, &scope, 1, &prefix);
		build_resumed_body(body);
	}
	chat_request_clear(&c);
	return 0;
}
