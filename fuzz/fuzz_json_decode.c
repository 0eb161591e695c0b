#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "base/json_decode.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The input is a response of the platform's store. What is decoded is JSON. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *root =
	    jh_json_decode((struct jh_str){(const char *)data, size});
	char *text;

	if (root == NULL)
		return 0;
	text = json_dumps(root, JSON_ENCODE_ANY);
	if (text == NULL)
		abort();
	free(text);
	json_decref(root);
	return 0;
}
