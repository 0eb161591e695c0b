#ifndef ENTRY_WORKERS_H
#define ENTRY_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/place.h>

struct entry;

/* The backend servers this entry daemon knows, and a placer for each model. */
struct entry_workers;

/* Where one agent is reached; a copy. */
struct worker_address {
	char instance[64];
	uint64_t id;
	struct sockaddr_in address;
	bool same_region;
};

/* One row of the platform's instance list. */
struct worker_row {
	char *instance;
	struct sockaddr_in address;
	struct sockaddr_in rpc_address;
	char *zone;
	char *region;
	char **models; /* empty for a plain service */
	char *service; /* NULL for an engine */
	bool entry; /* an entry daemon, not an agent */
	bool leaving;
};

struct entry_workers *entry_workers_create(struct entry *e);
void entry_workers_destroy(struct entry_workers *w);

/* Replaces the list; takes the rows of struct worker_row. */
void entry_workers_set(struct entry_workers *w, GPtrArray *rows);
void worker_row_free(void *row);

/* Candidates for a model, best first; 0 when no worker may take it. */
size_t entry_workers_choose(struct entry_workers *w, const char *model,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);
void entry_workers_learn(struct entry_workers *w, const char *model,
    uint64_t worker, const struct jh_place_answer *a);
uint32_t entry_workers_width(
    struct entry_workers *w, const char *model, const struct jh_prefix *p);

bool entry_workers_find(
    struct entry_workers *w, uint64_t id, struct worker_address *out);

/*
 * Agents of a plain service in rendezvous order of the key, own region first.
 * Returns an array of struct worker_address.
 */
GArray *entry_workers_of_service(
    struct entry_workers *w, const char *service, struct jh_str key);

/* The number this region has in placement requests. */
uint32_t entry_workers_region(const char *region);

uint64_t entry_worker_id(const char *instance);

/* Reports on the placers for the state dump. */
void entry_workers_each(struct entry_workers *w,
    void (*fn)(void *arg, const struct worker_row *row, uint64_t id),
    void *arg);

#endif
