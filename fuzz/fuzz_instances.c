#include <stddef.h>
#include <stdint.h>

#include <jacinthhill/members.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is the platform's instance list. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct jh_members *m;
	unsigned int malformed;
	GPtrArray *list;

	list = jh_instances_parse(
	    (struct jh_str){(const char *)data, size}, &malformed);
	if (list == NULL)
		return 0;
	m = jh_members_create();
	jh_members_set_list(
	    m, (const struct jh_instance *const *)list->pdata, list->len);
	jh_members_destroy(m);
	g_ptr_array_free(list, TRUE);
	return 0;
}
