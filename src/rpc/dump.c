#include <string.h>

#include "rpc/dump.h"

void
jh_dump_reply(
    json_t *root, const struct jh_dump_args *args, struct jh_text_reply *reply)
{
	json_t *section = json_object_get(root, args->section);

	if (section != NULL) {
		section = json_pack("{s:O}", args->section, section);
		json_decref(root);
		root = section;
	}
	reply->text = json_dumps(root, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	if (reply->text == NULL)
		reply->text = strdup("{}");
	json_decref(root);
}

json_t *
jh_dump_counters(const struct jh_counters *c)
{
	json_t *out = json_object();
	size_t i;

	for (i = 0; i < jh_counters_len(c); i++)
		json_object_set_new(out, jh_counters_name(c, i),
		    json_integer((json_int_t)jh_counters_get(c, i)));
	return out;
}
