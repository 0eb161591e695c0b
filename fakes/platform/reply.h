#ifndef FAKES_PLATFORM_REPLY_H
#define FAKES_PLATFORM_REPLY_H

#include <jansson.h>
#include <uv.h>

#include "net/server.h"

/* Helpers that the fakes of the platform share. */

/*
 * Respond with a JSON body, and with these header lines; they take over the
 * reference.
 */
void fake_reply_json(
    struct jh_server_request *v, unsigned int status, json_t *body);
void fake_reply_json_fields(struct jh_server_request *v, unsigned int status,
    const char *fields, json_t *body);

/* Serves HTTP on a loopback port; aborts the program if that fails. */
struct jh_uv_server *fake_listen(uv_loop_t *loop, unsigned int port,
    const struct jh_uv_server_ops *ops, void *arg);

#endif
