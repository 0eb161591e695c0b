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
/* Reads a head, and nothing of what follows it. */
bool raw_request_read_head(int fd, char *buf, size_t len);
/* Length of the body that a head announces. */
size_t raw_request_body_len(const char *head);
/* Reads n bytes and drops them. */
bool raw_request_skip(int fd, size_t n);
/* Resets the connection; the descriptor is still to be closed. */
void raw_request_reset(int fd);

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
