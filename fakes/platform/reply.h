#ifndef FAKES_PLATFORM_REPLY_H
#define FAKES_PLATFORM_REPLY_H

#include <jansson.h>
#include <uv.h>

#include "net/front.h"

/* What the platform's stand-ins have in common. */

/* Answers with a JSON body, which it takes over. */
void fake_reply_json(struct jh_visit *v, unsigned int status, json_t *body);

/* Serves HTTP on a loopback port; ends the program when that fails. */
struct jh_front *fake_listen(uv_loop_t *loop, unsigned int port,
    const struct jh_front_ops *ops, void *arg);

#endif
