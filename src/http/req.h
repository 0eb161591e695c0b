#ifndef HTTP_REQ_H
#define HTTP_REQ_H

#include <pthread.h>

#include <microhttpd.h>

#include "http/server.h"

/* A header or query argument as libmicrohttpd gave it, or a reply header. */
struct http_field {
	enum MHD_ValueKind kind;
	char *name;
	char *value;
};

struct jh_http_server {
	struct MHD_Daemon *daemon;
	struct jh_http_server_spec spec;
	pthread_mutex_t lock; /* guards waiting and stopping */
	GHashTable *waiting; /* set of struct jh_http_req with a live peer */
	pthread_cond_t stop_cond;
	pthread_t sweeper;
	bool stopping;
	int active; /* atomic */
};

struct jh_http_req {
	int refs; /* atomic */
	struct jh_http_server *server;
	struct MHD_Connection *conn; /* valid while attached */
	char *method; /* NULL until the headers are read */
	char *path;
	char *target;
	GArray *fields; /* struct http_field; they outlive the connection */
	GString *body;
	bool too_large;
	bool handled; /* the request callback has run */

	pthread_mutex_t lock; /* guards all below */
	bool attached; /* libmicrohttpd still holds the connection */
	bool suspended;
	bool begun;
	bool queued;
	bool ended;
	bool aborted;
	bool full;
	bool closed_told;
	unsigned int status;
	GArray *headers; /* of the reply, struct http_field */
	GString *out;
	size_t out_pos;
	const struct jh_http_req_ops *ops;
	void *arg;
};

struct jh_http_req *http_req_create(
    struct jh_http_server *s, struct MHD_Connection *conn, const char *target);

/* Copies headers and query arguments off the connection. */
void http_req_copy_fields(struct jh_http_req *r);

/* Lets a waiting connection go on. Caller holds r->lock. */
void http_req_wake(struct jh_http_req *r);

/* Tells the handler, once, that the peer left before the reply was whole. */
void http_req_tell_closed(struct jh_http_req *r);

#endif
