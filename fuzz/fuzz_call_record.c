#include <stddef.h>
#include <stdint.h>

#include "once/record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is a stored record of a non-idempotent call. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct jh_record r = {0};
	size_t len;

	if (jh_record_decode(
		(struct jh_str){(const char *)data, size}, &r, NULL))
		g_free(jh_record_encode(&r, &len));
	jh_record_clear(&r);
	return 0;
}
