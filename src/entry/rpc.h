#ifndef ENTRY_RPC_H
#define ENTRY_RPC_H

#include "rpc/server.h"

/* Control procedures of an entry daemon; the argument is struct entry. */
extern const struct jh_rpc_handler entry_rpc_handlers[];

#endif
