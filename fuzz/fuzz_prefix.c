#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/prefix.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is the value of a Jh-Prefix header. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char out[JH_PREFIX_HEADER_SIZE];
	struct jh_prefix prefix;

	if (jh_prefix_parse(&prefix, (struct jh_str){(const char *)data, size}))
		jh_prefix_format(&prefix, out);
	return 0;
}
