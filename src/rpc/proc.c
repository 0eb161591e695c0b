#include "rpc/proc.h"

#define PROC(num, args, reply)                                         \
	{                                                              \
		num, #num, (xdrproc_t)xdr_##args, sizeof(struct args), \
		    (xdrproc_t)xdr_##reply, sizeof(struct reply)       \
	}

static const struct jh_rpc_proc procs[] = {
    PROC(JH_SYNC, jh_sync_args, jh_sync_reply),
    PROC(JH_NONCE, jh_nonce_args, jh_nonce_reply),
    PROC(JH_QUOTA, jh_quota_args, jh_quota_reply),
    PROC(JH_ORDER, jh_order_args, jh_status_reply),
    PROC(JH_DRAIN, jh_drain_args, jh_status_reply),
    PROC(JH_DUMP, jh_dump_args, jh_text_reply),
};

const struct jh_rpc_proc *
jh_rpc_proc_find(uint32_t number)
{
	size_t i;

	for (i = 0; i < sizeof(procs) / sizeof(procs[0]); i++) {
		if (procs[i].number == number)
			return &procs[i];
	}
	return NULL;
}
