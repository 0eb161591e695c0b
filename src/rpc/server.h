#ifndef RPC_SERVER_H
#define RPC_SERVER_H

#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include "base/auth.h"
#include "rpc/control.h"

/*
 * The control RPC server of a process, with a thread of its own. There is one
 * per process, because libtirpc's server state is global. A message that fails
 * authentication gets an RPC authentication error and has no effect.
 */
struct jh_rpc_server;

#define JH_RPC_ERROR jh_rpc_error_quark()
enum jh_rpc_error {
	JH_RPC_ERROR_LISTEN, /* the address cannot be bound */
	JH_RPC_ERROR_NO_LISTENER, /* no process listens at the address */
	JH_RPC_ERROR_CONNECT, /* no connection: the peer has received nothing */
	JH_RPC_ERROR_TIMEOUT, /* no reply before the deadline */
	JH_RPC_ERROR_REFUSED, /* the peer refuses the call */
	JH_RPC_ERROR_AUTH, /* the reply was not authentic */
	JH_RPC_ERROR_ENCODE /* the argument is over its limits */
};
GQuark jh_rpc_error_quark(void);

/*
 * The handler of one procedure, called on the RPC thread. args is valid during
 * the call. reply is zeroed; memory that the handler puts there must come from
 * malloc() or g_malloc(), and every string must be set.
 */
struct jh_rpc_handler {
	uint32_t proc;
	void (*handle)(void *arg, const void *args, void *reply);
};

/*
 * The table of handlers ends with proc 0 and must outlive the server. Returns
 * NULL and sets err if the server cannot be started.
 */
struct jh_rpc_server *jh_rpc_server_create(const struct sockaddr_in *listen,
    const struct jh_auth_key *key, const struct jh_rpc_handler *handlers,
    void *arg, GError **err);
void jh_rpc_server_destroy(struct jh_rpc_server *s);
/* Returns the port in use, which the system chooses if listen has port 0. */
unsigned int jh_rpc_server_port(const struct jh_rpc_server *s);

/*
 * Calls a procedure and waits for the reply until the deadline (jh_now()
 * time). On success *reply, zeroed by the caller, is filled and must be
 * released with jh_rpc_reply_clear().
 */
bool jh_rpc_call(const struct sockaddr_in *peer, const struct jh_auth_key *key,
    uint32_t proc, void *args, void *reply, uint64_t deadline, GError **err);
void jh_rpc_reply_clear(uint32_t proc, void *reply);

#endif
