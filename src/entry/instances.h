#ifndef ENTRY_INSTANCES_H
#define ENTRY_INSTANCES_H

#include "entry/entry.h"

/* Reads the platform's instance list; one read runs at a time. */
struct entry_instances;

struct entry_instances *entry_instances_create(struct entry *e);
/* Call it after the entry daemon's HTTP client is destroyed. */
void entry_instances_destroy(struct entry_instances *n);

/* Starts a read if one is due; call it from the control thread. */
void entry_instances_tick(struct entry_instances *n);

#endif
