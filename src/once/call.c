#include <jacinthhill/clock.h>

#include "once/call.h"

struct jh_call *
jh_call_create(char *object, struct jh_str request_hash)
{
	struct jh_call *c = g_new0(struct jh_call, 1);

	c->object = g_strdup(object);
	c->request_hash = jh_str_dup(request_hash);
	c->due = JH_NEVER;
	c->waiters = g_array_new(FALSE, FALSE, sizeof(struct jh_waiter));
	return c;
}

void
jh_call_free(struct jh_call *c)
{
	g_free(c->object);
	g_free(c->request_hash);
	g_free(c->holder_agent);
	g_array_free(c->waiters, TRUE);
	jh_call_response_unref(c->response);
	g_free(c);
}
