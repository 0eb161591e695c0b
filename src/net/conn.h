#ifndef NET_CONN_H
#define NET_CONN_H

#include <stdbool.h>
#include <stddef.h>

#include <netinet/in.h>
#include <uv.h>

/* One TCP connection on a libuv loop. */
struct jh_conn;

struct jh_conn_ops {
	void (*opened)(void *arg); /* outgoing: connected */
	void (*data)(void *arg, const char *p, size_t n);
	/*
	 * The connection ended by itself: 0 for the peer's orderly end, or a
	 * libuv error. The owner still calls jh_conn_close().
	 */
	void (*ended)(void *arg, int error);
	/* All that was written has been handed to the system. */
	void (*drained)(void *arg);
};

/*
 * Returns NULL when the system refuses a socket. Bytes that the peer does not
 * acknowledge for unacked_msec break the connection.
 */
struct jh_conn *jh_conn_connect(uv_loop_t *loop, const struct sockaddr_in *peer,
    unsigned int unacked_msec, const struct jh_conn_ops *ops, void *arg);
struct jh_conn *jh_conn_accept(uv_stream_t *listener, unsigned int unacked_msec,
    const struct jh_conn_ops *ops, void *arg);

/* Copies what the system does not take at once. */
void jh_conn_write(struct jh_conn *c, const void *data, size_t n);
/* Bytes written that the system has not taken. */
size_t jh_conn_queued(const struct jh_conn *c);

/* Stops and restarts reading; a stopped connection does not see its end. */
void jh_conn_pause(struct jh_conn *c);
void jh_conn_resume(struct jh_conn *c);

/* Closes now; no callback follows. Unwritten bytes are lost. */
void jh_conn_close(struct jh_conn *c);
/*
 * Sends what is queued, then the end of the stream, and closes when the peer
 * has closed too or after a second. No callback follows. A plain close with
 * unread bytes would reset the connection and may destroy the last answer.
 */
void jh_conn_linger(struct jh_conn *c);
/* Closes with a reset, so that the peer cannot take the stream for ended. */
void jh_conn_reset(struct jh_conn *c);

#endif
