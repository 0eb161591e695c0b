#include "gateway/exchange.h"

/*
 * Bytes of the bodies that are held at once. A worker may send a body without
 * end: when there are no more, a body may have its share of them.
 */
#define MAX_HELD_BYTES ((size_t)16 * 1024 * 1024)

bool
exchange_hold_body(struct exchange *x, const char *p, size_t n)
{
	struct jh_gateway *gw = x->gateway;

	if (n == 0)
		return true;
	if (x->body == NULL) {
		x->body = g_byte_array_new();
		gw->held_bodies++;
	}
	if (x->body->len + n > MAX_HELD_BYTES ||
	    (gw->held_bytes + n > MAX_HELD_BYTES &&
		x->body->len + n > MAX_HELD_BYTES / gw->held_bodies))
		return false;
	g_byte_array_append(x->body, (const guint8 *)p, (guint)n);
	gw->held_bytes += n;
	jh_memory_account_update(
	    x->account, &x->body_counted, jh_memory_allocated(x->body->len));
	return true;
}

void
exchange_release_body(struct exchange *x)
{
	if (x->body == NULL)
		return;
	x->gateway->held_bytes -= x->body->len;
	x->gateway->held_bodies--;
	jh_memory_account_update(x->account, &x->body_counted, 0);
	g_byte_array_free(x->body, TRUE);
	x->body = NULL;
}
