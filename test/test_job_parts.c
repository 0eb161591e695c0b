#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "work/job_parts.h"

/* Guards against a header that an agent reads differently. */
static void
header_has_all_parts(void **state)
{
	struct jh_job_parts in = {.n = JH_JOB_MAX_PARTS}, out;
	char text[JH_JOB_PARTS_SIZE];
	size_t i;

	for (i = 0; i < in.n; i++)
		in.part[i] = jh_fingerprint_of_part(UINT64_MAX - i);
	jh_job_parts_format(&in, text);
	assert_int_equal(strlen(text) + 1, sizeof(text));
	assert_true(jh_job_parts_parse(&out, text));
	assert_int_equal(out.n, in.n);
	assert_memory_equal(out.part, in.part, sizeof(in.part));
}

static void
malformed_header_is_rejected(void **state)
{
	static const char *const texts[] = {",", "1,", "1,,2", "g", "-1", "1;2",
	    "1ffffffffffffffff", "1,2,3,4,5,6,7,8,9,a"};
	struct jh_job_parts out;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		assert_false(jh_job_parts_parse(&out, texts[i]));
}

int
main(void)
{
	static const struct CMUnitTest tests[] = {
	    cmocka_unit_test(header_has_all_parts),
	    cmocka_unit_test(malformed_header_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
