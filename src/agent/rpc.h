#ifndef AGENT_RPC_H
#define AGENT_RPC_H

#include "rpc/server.h"

/* Control procedures of an agent; the handlers' argument is a struct agent. */
extern const struct jh_rpc_handler agent_rpc_handlers[];

#endif
