#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <arpa/inet.h>
#include <cmocka.h>

#include "harness.h"
#include "rpc/server.h"

json_t *
daemon_dump(unsigned int rpc_port)
{
	struct sockaddr_in peer = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)rpc_port)};
	char everything[] = "";
	struct jh_dump_args args = {everything};
	struct jh_text_reply reply = {0};
	struct jh_auth_key key;
	GError *err = NULL;
	json_t *root = NULL;

	assert_true(jh_auth_key_parse(&key, FIXTURE_SECRET));
	if (jh_rpc_call(&peer, &key, JH_DUMP, &args, &reply,
		jh_now() + JH_USEC_PER_SEC, &err)) {
		root = json_loads(reply.text, 0, NULL);
		jh_rpc_reply_clear(JH_DUMP, &reply);
	}
	g_clear_error(&err);
	return root;
}

json_int_t
daemon_counter(unsigned int rpc_port, const char *name)
{
	json_t *root = daemon_dump(rpc_port), *v;
	json_int_t n;

	v = json_object_get(json_object_get(root, "counters"), name);
	if (!json_is_integer(v))
		fail_msg("port %u has no counter %s", rpc_port, name);
	n = json_integer_value(v);
	json_decref(root);
	return n;
}

bool
entry_knows(struct fixture *w, unsigned int entry, unsigned int agent)
{
	json_t *root = daemon_dump(w->entry_rpc[entry]), *m;
	const char *id;
	bool knows = false;
	size_t i;

	json_array_foreach(json_object_get(root, "members"), i, m)
	{
		id = json_string_value(json_object_get(m, "instance"));
		if (g_strcmp0(id, w->agent[agent].name) == 0)
			knows = !json_is_true(json_object_get(m, "leaving"));
	}
	json_decref(root);
	return knows;
}
