#ifndef RPC_DUMP_H
#define RPC_DUMP_H

#include <jansson.h>

#include <jacinthhill/counters.h>

#include "rpc/control.h"

/*
 * Fills the reply to JH_DUMP with a process's state, or only with the requested
 * section if root has a member of that name. Takes the reference to root.
 */
void jh_dump_reply(
    json_t *root, const struct jh_dump_args *args, struct jh_text_reply *reply);

/* Returns an object with all counters, as a new reference. */
json_t *jh_dump_counters(const struct jh_counters *c);

#endif
