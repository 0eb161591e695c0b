#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <rpc/rpc.h>
#include <rpc/rpc_com.h>

#include "base/thread.h"
#include "rpc/proc.h"
#include "rpc/seal.h"
#include "rpc/server.h"

/* Sockets polled at a time; further connections wait in the listen queue. */
#define MAX_POLL_FDS 1024

struct jh_rpc_server {
	struct jh_auth_key key;
	const struct jh_rpc_handler *handlers;
	void *arg;
	SVCXPRT *listener;
	unsigned int port;
	int stop_fd;
	pthread_t thread;
};

/* The process's server, as libtirpc passes dispatch() no argument. */
static struct jh_rpc_server *process_server;

G_DEFINE_QUARK(jh_rpc_error_quark, jh_rpc_error)

static const struct jh_rpc_handler *
find_handler(const struct jh_rpc_server *s, uint32_t proc)
{
	const struct jh_rpc_handler *h;

	for (h = s->handlers; h->proc != 0; h++) {
		if (h->proc == proc)
			return h;
	}
	return NULL;
}

static void
serve_call(struct jh_rpc_server *s, SVCXPRT *xprt, const struct jh_rpc_proc *p,
    const struct jh_rpc_handler *h, struct jh_sealed *in)
{
	struct jh_sealed out = {0};
	void *args = g_malloc0(p->args_size);
	void *reply = g_malloc0(p->reply_size);

	if (!jh_unseal(
		&s->key, p->number, JH_SEAL_REQUEST, in, p->args, args)) {
		svcerr_auth(xprt, AUTH_BADCRED);
		goto out;
	}
	h->handle(s->arg, args, reply);
	memcpy(out.nonce, in->nonce, sizeof(out.nonce));
	if (jh_seal(&s->key, p->number, JH_SEAL_REPLY, p->reply, reply, &out))
		svc_sendreply(xprt, (xdrproc_t)xdr_jh_sealed, (char *)&out);
	else
		svcerr_systemerr(xprt);
	xdr_free((xdrproc_t)xdr_jh_sealed, &out);
	xdr_free(p->reply, reply);
	xdr_free(p->args, args);
out:
	g_free(reply);
	g_free(args);
}

static void
dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	struct jh_rpc_server *s = process_server;
	const struct jh_rpc_proc *p = jh_rpc_proc_find((uint32_t)req->rq_proc);
	const struct jh_rpc_handler *h;
	struct jh_sealed in = {0};

	if (req->rq_proc == NULLPROC) {
		svc_sendreply(xprt, (xdrproc_t)(void (*)(void))xdr_void, NULL);
		return;
	}
	h = p == NULL ? NULL : find_handler(s, p->number);
	if (h == NULL) {
		svcerr_noproc(xprt);
		return;
	}
	if (!svc_getargs(xprt, (xdrproc_t)xdr_jh_sealed, (char *)&in)) {
		svcerr_decode(xprt);
		return;
	}
	serve_call(s, xprt, p, h, &in);
	svc_freeargs(xprt, (xdrproc_t)xdr_jh_sealed, (char *)&in);
}

static void *
server_main(void *arg)
{
	struct jh_rpc_server *s = arg;
	struct pollfd fds[MAX_POLL_FDS + 1];
	int n, ready;

	for (;;) {
		n = MIN(svc_max_pollfd, MAX_POLL_FDS);
		memcpy(fds, svc_pollfd, (size_t)n * sizeof(fds[0]));
		fds[n] = (struct pollfd){.fd = s->stop_fd, .events = POLLIN};
		ready = poll(fds, (nfds_t)n + 1, -1);
		if (ready < 0 && errno != EINTR)
			return NULL;
		if (fds[n].revents != 0)
			return NULL;
		if (ready > 0)
			svc_getreq_poll(fds, ready);
	}
}

static int
listen_on(const struct sockaddr_in *address)
{
	int fd, one = 1;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd == -1)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)address, sizeof(*address)) ==
		-1 ||
	    listen(fd, SOMAXCONN) == -1) {
		close(fd);
		return -1;
	}
	return fd;
}

struct jh_rpc_server *
jh_rpc_server_create(const struct sockaddr_in *address,
    const struct jh_auth_key *key, const struct jh_rpc_handler *handlers,
    void *arg, GError **err)
{
	struct sockaddr_in bound = {0};
	socklen_t len = sizeof(bound);
	/* With a record limit, libtirpc also reads without blocking. */
	int max_record = JH_MAX_PAYLOAD + 1024;
	struct jh_rpc_server *s;
	int fd;

	rpc_control(RPC_SVC_CONNMAXREC_SET, &max_record);
	fd = listen_on(address);
	if (fd == -1) {
		g_set_error(err, JH_RPC_ERROR, JH_RPC_ERROR_LISTEN,
		    "cannot listen on RPC port %u: %s",
		    ntohs(address->sin_port), g_strerror(errno));
		return NULL;
	}
	s = g_new0(struct jh_rpc_server, 1);
	s->key = *key;
	s->handlers = handlers;
	s->arg = arg;
	getsockname(fd, (struct sockaddr *)&bound, &len);
	s->port = ntohs(bound.sin_port);
	s->stop_fd = eventfd(0, EFD_CLOEXEC);
	process_server = s;
	s->listener = svc_vc_create(fd, 0, 0);
	if (s->listener == NULL ||
	    !svc_reg(s->listener, JH_CONTROL, JH_CONTROL_V1, dispatch, NULL)) {
		g_set_error(err, JH_RPC_ERROR, JH_RPC_ERROR_LISTEN,
		    "cannot register the RPC service");
		close(s->stop_fd);
		close(fd);
		g_free(s);
		return NULL;
	}
	s->thread = jh_thread_create("rpc", server_main, s);
	return s;
}

void
jh_rpc_server_destroy(struct jh_rpc_server *s)
{
	uint64_t one = 1;

	if (s == NULL)
		return;
	if (write(s->stop_fd, &one, sizeof(one)) == sizeof(one))
		pthread_join(s->thread, NULL);
	svc_unreg(JH_CONTROL, JH_CONTROL_V1);
	svc_destroy(s->listener);
	close(s->stop_fd);
	process_server = NULL;
	g_free(s);
}

unsigned int
jh_rpc_server_port(const struct jh_rpc_server *s)
{
	return s->port;
}
