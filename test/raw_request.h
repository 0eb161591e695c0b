#ifndef TEST_RAW_REQUEST_H
#define TEST_RAW_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <netinet/in.h>
#include <pthread.h>

/*
 * Reads a head and the body that it announces from a plain socket, as a string.
 * Returns false at the end of the connection, or if the buffer is too short.
 */
bool raw_request_read(int fd, char *buf, size_t len);

/* A server with a plain socket and a thread, for one connection at a time. */
struct raw_peer {
	/* Serves a connection, which is then closed. */
	void (*serve)(void *arg, int fd);
	void *arg;
	struct sockaddr_in address; /* a free port of the loopback interface */
	int listener;
	pthread_t thread;
};

/* serve and arg are set. */
void raw_peer_start(struct raw_peer *p);
void raw_peer_stop(struct raw_peer *p);

#endif
