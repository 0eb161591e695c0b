#ifndef RPC_PROC_H
#define RPC_PROC_H

#include <stddef.h>
#include <stdint.h>

#include "rpc/control.h"

/* Number, name and XDR types of one control procedure. */
struct jh_rpc_proc {
	uint32_t number;
	const char *name;
	xdrproc_t args;
	size_t args_size;
	xdrproc_t reply;
	size_t reply_size;
};

/* Returns NULL if there is no procedure with that number. */
const struct jh_rpc_proc *jh_rpc_proc_find(uint32_t number);

#endif
