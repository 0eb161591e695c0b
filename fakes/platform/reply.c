#include <stdlib.h>

#include "fakes/platform/reply.h"
#include "fakes/port.h"

static const struct jh_uv_server_limits limits = {65536, 4 << 20, 0, 0, 0};

void
fake_reply_json_fields(struct jh_server_request *v, unsigned int status,
    const char *fields, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
	char *all =
	    g_strconcat("Content-Type: application/json\r\n", fields, NULL);

	jh_server_request_respond(
	    v, status, "Answer", jh_str_from(all), jh_str_from(text));
	g_free(all);
	free(text);
	json_decref(body);
}

void
fake_reply_json(struct jh_server_request *v, unsigned int status, json_t *body)
{
	fake_reply_json_fields(v, status, "", body);
}

struct jh_uv_server *
fake_listen(uv_loop_t *loop, unsigned int port,
    const struct jh_uv_server_ops *ops, void *arg)
{
	struct jh_uv_server *f = jh_uv_server_create(loop, &limits, ops, arg);
	struct sockaddr_in sin = fake_loopback(port);
	int error = jh_uv_server_listen(f, &sin);

	if (error != 0)
		g_error(
		    "cannot listen on port %u: %s", port, uv_strerror(error));
	return f;
}
