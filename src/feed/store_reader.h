#ifndef FEED_STORE_READER_H
#define FEED_STORE_READER_H

#include <jacinthhill/catalog.h>
#include <jacinthhill/sync.h>

#include "store/store.h"

/* Lists and watches the catalogue in the store, with one call at a time. */
struct store_reader;

struct store_reader_ops {
	/* The list or watch has ended and its result is in the copy. */
	void (*done)(void *arg, enum jh_sync_result result);
};

struct store_reader *store_reader_create(const struct sockaddr_in *store,
    struct jh_catalog *catalog, const struct store_reader_ops *ops, void *arg);
void store_reader_destroy(struct store_reader *r);

/* Starts to list the whole catalogue. */
void store_reader_list(struct store_reader *r, uint64_t deadline);
/* Starts to watch for changes after revision from, for up to wait_ms. */
void store_reader_watch(struct store_reader *r, uint64_t from,
    unsigned int wait_ms, uint64_t deadline);

#endif
