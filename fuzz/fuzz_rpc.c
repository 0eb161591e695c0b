#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "rpc/proc.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
decode(xdrproc_t xdr, size_t value_size, const uint8_t *data, size_t size)
{
	void *value = g_malloc0(value_size);
	XDR x;

	xdrmem_create(&x, (char *)data, (u_int)size, XDR_DECODE);
	xdr(&x, value);
	xdr_destroy(&x);
	xdr_free(xdr, value);
	g_free(value);
}

/*
 * The input is a procedure number of the control RPC, then bytes that are
 * decoded as its arguments and as its reply; with an unknown number, as a
 * sealed message.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct jh_rpc_proc *p;

	if (size == 0)
		return 0;
	p = jh_rpc_proc_find(data[0]);
	if (p == NULL) {
		decode((xdrproc_t)xdr_jh_sealed, sizeof(struct jh_sealed),
		    data + 1, size - 1);
		return 0;
	}
	decode(p->args, p->args_size, data + 1, size - 1);
	decode(p->reply, p->reply_size, data + 1, size - 1);
	return 0;
}
