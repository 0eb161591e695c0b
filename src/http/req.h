#ifndef HTTP_REQ_H
#define HTTP_REQ_H

#include <pthread.h>

#include <microhttpd.h>

#include "http/server.h"

/* A header or query argument of a request, or a header of a reply. */
struct http_field {
	enum MHD_ValueKind kind;
	char *name;
	char *value;
};

struct jh_http_server {
	struct MHD_Daemon *daemon;
	struct jh_http_server_spec spec;
	pthread_mutex_t lock; /* guards open_reqs and stopping */
	GHashTable *open_reqs; /* set of struct jh_http_req not completed */
	pthread_cond_t stop_cond;
	pthread_t sweeper;
	bool stopping;
	int active; /* atomic: requests not yet completed */
};

struct jh_http_req {
	int refs; /* atomic */
	struct jh_http_server *server;
	struct MHD_Connection *conn; /* valid while attached is true */
	char *method; /* NULL until the headers are read */
	char *path;
	char *target;
	GArray *fields; /* struct http_field; copies that outlive conn */
	GString *body;
	bool too_large;
	bool handled; /* the server's request callback was called */

	pthread_mutex_t lock; /* guards all below */
	bool attached; /* libmicrohttpd has not completed the request */
	bool suspended;
	bool begun;
	bool queued; /* libmicrohttpd reads the reply */
	bool ended;
	bool aborted;
	bool full; /* the producer waits for writable() */
	bool closed_notified;
	unsigned int status;
	GArray *headers; /* of the reply, struct http_field */
	GString *out;
	size_t out_pos;
	const struct jh_http_req_ops *ops;
	void *arg;
};

struct jh_http_req *http_req_create(
    struct jh_http_server *s, struct MHD_Connection *conn, const char *target);

/* Copies headers and query arguments from the connection. */
void http_req_copy_fields(struct jh_http_req *r);

/* Resumes a suspended connection. The caller holds r->lock. */
void http_req_resume(struct jh_http_req *r);

/* Calls closed(), once, if the reply was not complete. */
void http_req_notify_closed(struct jh_http_req *r);

#endif
