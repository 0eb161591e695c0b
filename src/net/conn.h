#ifndef NET_CONN_H
#define NET_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include "net/memory_budget.h"

/* A TCP connection on a libuv loop. */
struct jh_conn;

struct jh_conn_ops {
	void (*opened)(void *arg); /* an outgoing connection is established */
	void (*data)(void *arg, const char *p, size_t n);
	/*
	 * The connection ended: error is 0 if the peer closed it, or a libuv
	 * error. The owner must still call jh_conn_close().
	 */
	void (*ended)(void *arg, int error);
	/* All written data has been passed to the kernel. */
	void (*drained)(void *arg);
};

/*
 * Return NULL on failure. The connection fails if sent data stays
 * unacknowledged for unacked_msec.
 */
struct jh_conn *jh_conn_connect(uv_loop_t *loop, const struct sockaddr_in *peer,
    unsigned int unacked_msec, const struct jh_conn_ops *ops, void *arg);
struct jh_conn *jh_conn_accept(uv_stream_t *listener, unsigned int unacked_msec,
    const struct jh_conn_ops *ops, void *arg);

/*
 * Counts what the kernel does not accept in the account, which the connection
 * takes over; NULL: none. A closed connection retires the account, and frees it
 * from the loop.
 */
void jh_conn_set_account(struct jh_conn *c, struct jh_memory_account *account);

/* Copies the data that the kernel does not accept at once. */
void jh_conn_write(struct jh_conn *c, const void *data, size_t n);
/* Bytes written that the kernel has not accepted yet. */
size_t jh_conn_queued(const struct jh_conn *c);

/* Bytes written that the peer has not acknowledged yet. */
size_t jh_conn_unacked(const struct jh_conn *c);

/* Bytes that the peer sent and that were not read yet. */
size_t jh_conn_unread(const struct jh_conn *c);

/*
 * Sets *at to the jh_now() time at which the last bytes from the peer arrived,
 * read or not, or at which the connection was established if there were none.
 * Returns false if the kernel does not tell.
 */
bool jh_conn_arrival(const struct jh_conn *c, uint64_t *at);

/*
 * Whether the kernel has something to read: bytes, or the end of the
 * connection.
 */
bool jh_conn_has_input(const struct jh_conn *c);
/* Whether the peer has ended the connection and all that it sent was read. */
bool jh_conn_peer_has_closed(const struct jh_conn *c);

/* Stop and resume reading; the end is not noticed while reading is stopped. */
void jh_conn_pause(struct jh_conn *c);
void jh_conn_resume(struct jh_conn *c);

/* Closes at once; no callback follows. Queued bytes are lost. */
void jh_conn_close(struct jh_conn *c);
/*
 * Sends the queued bytes and the end of the stream, then closes when the peer
 * has closed too or after one second. No callback follows. A plain close with
 * unread bytes would reset the connection, and the peer could lose the last
 * response.
 */
void jh_conn_linger(struct jh_conn *c);
/* Closes with a reset, so that the peer does not see an orderly end. */
void jh_conn_reset(struct jh_conn *c);

#endif
