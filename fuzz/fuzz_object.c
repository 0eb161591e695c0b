#include <stddef.h>
#include <stdint.h>

#include "base/json_decode.h"
#include "platform/objects.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is the specification of an object of the platform's store. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *root =
	    jh_json_decode((struct jh_str){(const char *)data, size});
	struct jh_listed_worker worker;
	struct jh_route_table *table;
	const char *reason, *model;
	uint64_t version;

	if (root == NULL)
		return 0;
	(void)plat_decode_worker(root, &worker, &reason);
	(void)plat_decode_weights(root, &model, &version, &reason);
	table = plat_decode_config(root, &reason);
	if (table != NULL)
		jh_route_table_unref(table);
	json_decref(root);
	return 0;
}
