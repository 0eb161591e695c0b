#ifndef ENTRY_CATALOG_FEED_H
#define ENTRY_CATALOG_FEED_H

#include "entry/entry.h"

/* Keeps the entry daemon's catalogue up to date from the store. */
struct entry_feed;

struct entry_feed *entry_feed_create(struct entry *e);
void entry_feed_destroy(struct entry_feed *f);
void entry_feed_tick(struct entry_feed *f);

#endif
