#ifndef AGENT_ONCE_REPLY_H
#define AGENT_ONCE_REPLY_H

#include <jacinthhill/ledger.h>

#include "agent/agent.h"

/* Replies to an attempt with the ledger's outcome. */
void once_write_reply(struct agent *a, struct jh_http_req *req,
    const struct jh_ledger_action *act);

#endif
