#ifndef TEST_RAW_REQUEST_H
#define TEST_RAW_REQUEST_H

#include <stdbool.h>
#include <stddef.h>

#include <netinet/in.h>

/*
 * Reads a head and the body that it announces from a plain socket, as a string.
 * Returns false at the end of the connection, or if the buffer is too short.
 */
bool raw_request_read(int fd, char *buf, size_t len);

/* Listens on a free port of the loopback interface; returns the socket. */
int raw_listen(struct sockaddr_in *address);

#endif
