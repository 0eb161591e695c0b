#ifndef ENTRY_SERVICE_H
#define ENTRY_SERVICE_H

#include "entry/entry.h"

/* Serves /v1/services/<name>/<path>; takes the reference to req. */
void entry_service(struct entry *e, struct jh_http_req *req);

#endif
