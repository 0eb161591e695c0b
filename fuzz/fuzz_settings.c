#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config/settings.h"

struct inner {
	char *name;
	struct sockaddr_in address;
};

struct outer {
	char *zone;
	char *mode;
	int64_t limit;
	bool fast;
	uint8_t key[32];
	GPtrArray *peers;
	GPtrArray *names;
};

static const char *const modes[] = {"plain", "strict", NULL};

static const struct jh_setting inner_table[] = {
    {.key = "name",
	.type = JH_SET_STRING,
	.required = true,
	.offset = offsetof(struct inner, name)},
    {.key = "address",
	.type = JH_SET_ADDRESS,
	.required = true,
	.offset = offsetof(struct inner, address)},
    {0}};

static const struct jh_setting outer_table[] = {
    {.key = "zone",
	.type = JH_SET_STRING,
	.required = true,
	.offset = offsetof(struct outer, zone)},
    {.key = "mode",
	.type = JH_SET_STRING,
	.choices = modes,
	.fallback = "plain",
	.offset = offsetof(struct outer, mode)},
    {.key = "limit",
	.type = JH_SET_INT,
	.min = -10,
	.max = 10,
	.fallback = "5",
	.offset = offsetof(struct outer, limit)},
    {.key = "fast",
	.type = JH_SET_BOOL,
	.fallback = "false",
	.offset = offsetof(struct outer, fast)},
    {.key = "key", .type = JH_SET_HEX32, .offset = offsetof(struct outer, key)},
    {.key = "peers",
	.type = JH_SET_LIST,
	.item = inner_table,
	.item_size = sizeof(struct inner),
	.offset = offsetof(struct outer, peers)},
    {.key = "names",
	.type = JH_SET_STRINGS,
	.offset = offsetof(struct outer, names)},
    {0}};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* A file either fills every required field or is rejected with a message. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct outer out = {0};
	GError *err = NULL;

	if (jh_settings_parse(
		"input", (const char *)data, len, outer_table, &out, &err)) {
		g_assert_no_error(err);
		g_assert_nonnull(out.zone);
		g_assert_nonnull(out.peers);
		g_assert_cmpint(ABS(out.limit), <=, 10);
	} else {
		g_assert_nonnull(err);
		g_assert_cmpstr(err->message, !=, "");
		g_error_free(err);
	}
	jh_settings_clear(outer_table, &out);
	return 0;
}
