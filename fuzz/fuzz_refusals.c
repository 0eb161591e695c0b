#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/refusals.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is a stored record of refused requests. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct jh_refusal_report *r = jh_refusal_report_create(500000);
	const struct jh_refusal_row *rows;

	jh_refusal_report_add(r, "refusals/500000/entry-0-0000000000000001",
	    (struct jh_str){(const char *)data, size}, NULL);
	jh_refusal_report_finish(r, UINT64_MAX / 2);
	jh_refusal_report_rows(r, &rows);
	jh_refusal_report_destroy(r);
	return 0;
}
