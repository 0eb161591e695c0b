#ifndef ENTRY_CHAT_H
#define ENTRY_CHAT_H

#include "entry/entry.h"

/* Serves POST /v1/chat/completions; takes the reference to req. */
void entry_chat(struct entry *e, struct jh_http_req *req);

#endif
