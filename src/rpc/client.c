#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jacinthhill/clock.h>

#include "rpc/proc.h"
#include "rpc/seal.h"
#include "rpc/server.h"

static struct timeval
time_left(uint64_t deadline)
{
	uint64_t now = jh_now();
	uint64_t left = deadline > now ? deadline - now : 1;

	return (struct timeval){(time_t)(left / JH_USEC_PER_SEC),
	    (suseconds_t)(left % JH_USEC_PER_SEC)};
}

static bool
wait_connected(int fd, uint64_t deadline)
{
	struct timeval left = time_left(deadline);
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	int status = 0;
	socklen_t len = sizeof(status);

	errno = ETIMEDOUT;
	if (poll(&p, 1, (int)(left.tv_sec * 1000 + left.tv_usec / 1000) + 1) !=
	    1)
		return false;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &status, &len) == -1)
		return false;
	errno = status;
	return status == 0;
}

static int
connect_to(const struct sockaddr_in *peer, uint64_t deadline)
{
	struct timeval left;
	int fd, cause;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd == -1)
		return -1;
	if (connect(fd, (const struct sockaddr *)peer, sizeof(*peer)) == -1 &&
	    (errno != EINPROGRESS || !wait_connected(fd, deadline))) {
		cause = errno;
		close(fd);
		errno = cause;
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	left = time_left(deadline);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &left, sizeof(left));
	return fd;
}

static CLIENT *
create_client(const struct sockaddr_in *peer, uint64_t deadline)
{
	struct netbuf address = {sizeof(*peer), sizeof(*peer), (void *)peer};
	CLIENT *c;
	int fd = connect_to(peer, deadline);

	if (fd == -1)
		return NULL;
	c = clnt_vc_create(fd, &address, JH_CONTROL, JH_CONTROL_V1, 0, 0);
	if (c == NULL) {
		close(fd);
		return NULL;
	}
	clnt_control(c, CLSET_FD_CLOSE, NULL);
	return c;
}

static void
set_call_error(GError **err, const struct jh_rpc_proc *p, enum clnt_stat st)
{
	enum jh_rpc_error code = JH_RPC_ERROR_REFUSED;

	if (st == RPC_TIMEDOUT || st == RPC_CANTRECV || st == RPC_CANTSEND)
		code = JH_RPC_ERROR_TIMEOUT;
	g_set_error(err, JH_RPC_ERROR, code, "%s failed: %s", p->name,
	    clnt_sperrno(st));
}

static bool
exchange(CLIENT *c, const struct jh_auth_key *key, const struct jh_rpc_proc *p,
    struct jh_sealed *out, void *reply, uint64_t deadline, GError **err)
{
	struct jh_sealed in = {0};
	enum clnt_stat st;
	bool ok = false;

	st = clnt_call(c, p->number, (xdrproc_t)xdr_jh_sealed, (char *)out,
	    (xdrproc_t)xdr_jh_sealed, (char *)&in, time_left(deadline));
	if (st != RPC_SUCCESS) {
		set_call_error(err, p, st);
		return false;
	}
	if (memcmp(in.nonce, out->nonce, sizeof(in.nonce)) == 0)
		ok = jh_unseal(
		    key, p->number, JH_SEAL_REPLY, &in, p->reply, reply);
	if (!ok)
		g_set_error(err, JH_RPC_ERROR, JH_RPC_ERROR_AUTH,
		    "%s: the reply is not authentic", p->name);
	xdr_free((xdrproc_t)xdr_jh_sealed, &in);
	return ok;
}

bool
jh_rpc_call(const struct sockaddr_in *peer, const struct jh_auth_key *key,
    uint32_t proc, void *args, void *reply, uint64_t deadline, GError **err)
{
	const struct jh_rpc_proc *p = jh_rpc_proc_find(proc);
	struct jh_sealed out = {0};
	CLIENT *c;
	bool ok;

	g_return_val_if_fail(p != NULL, false);
	jh_auth_random(out.nonce, sizeof(out.nonce));
	if (!jh_seal(key, proc, JH_SEAL_REQUEST, p->args, args, &out)) {
		g_set_error(err, JH_RPC_ERROR, JH_RPC_ERROR_ENCODE,
		    "%s: the argument is over its limits", p->name);
		return false;
	}
	c = create_client(peer, deadline);
	if (c == NULL) {
		g_set_error(err, JH_RPC_ERROR,
		    errno == ECONNREFUSED ? JH_RPC_ERROR_NO_LISTENER
					  : JH_RPC_ERROR_CONNECT,
		    "%s: no connection to the peer", p->name);
		ok = false;
	} else {
		ok = exchange(c, key, p, &out, reply, deadline, err);
		clnt_destroy(c);
	}
	xdr_free((xdrproc_t)xdr_jh_sealed, &out);
	return ok;
}

void
jh_rpc_reply_clear(uint32_t proc, void *reply)
{
	const struct jh_rpc_proc *p = jh_rpc_proc_find(proc);

	xdr_free(p->reply, reply);
}
