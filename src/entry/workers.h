#ifndef ENTRY_WORKERS_H
#define ENTRY_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/members.h>
#include <jacinthhill/place.h>

struct entry;

/* The listed instances, and a placer for each model. Thread-safe. */
struct entry_workers;

/* The addresses of an agent. */
struct worker_address {
	char instance[64];
	uint64_t id;
	struct sockaddr_in address;
	struct sockaddr_in rpc_address;
	bool same_region;
};

struct entry_workers *entry_workers_create(struct entry *e);
void entry_workers_destroy(struct entry_workers *w);

/* Replaces the instance list; the list is copied. */
void entry_workers_set(
    struct entry_workers *w, const struct jh_instance *const *list, size_t n);

/*
 * Writes the candidates for a request, best first, and returns their number; 0
 * if no worker may take it.
 */
size_t entry_workers_choose(struct entry_workers *w, const char *model,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);
/* jh_placer_learn() and jh_placer_width() of the placer of the model. */
void entry_workers_learn(struct entry_workers *w, const char *model,
    uint64_t worker, const struct jh_place_response *a);
uint32_t entry_workers_width(
    struct entry_workers *w, const char *model, const struct jh_prefix *p);

/* Records that an agent of a plain service replied, or failed to. */
void entry_workers_heard(
    struct entry_workers *w, const char *instance, bool leaving);
void entry_workers_failed(struct entry_workers *w, const char *instance);

/* Whether the instance list has this instance as an entry daemon. */
bool entry_workers_is_entry(struct entry_workers *w, const char *instance);

bool entry_workers_find(
    struct entry_workers *w, uint64_t id, struct worker_address *out);

/*
 * Returns the agents of a plain service, usable ones first, then the own region
 * first, then in rendezvous order of the key: an array of struct
 * worker_address, which the caller frees.
 */
GArray *entry_workers_of_service(
    struct entry_workers *w, const char *service, struct jh_str key);

/* Returns the id of a region in placement requests. */
uint32_t entry_region_id(const char *region);

/* Returns the number of regions that have entry daemons; at least 1. */
unsigned int entry_workers_count_regions(struct entry_workers *w);

/*
 * Returns the id of another region with workers of the model, or 0 if there is
 * none. random selects one of several.
 */
uint32_t entry_workers_other_region(
    struct entry_workers *w, const char *model, uint64_t random);

uint64_t entry_worker_id(const char *instance);

/* Calls fn for each listed instance of a role, with the lock held. */
void entry_workers_each(struct entry_workers *w, enum jh_role role,
    void (*fn)(void *arg, const struct jh_member *member), void *arg);

#endif
