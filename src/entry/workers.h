#ifndef ENTRY_WORKERS_H
#define ENTRY_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/members.h>
#include <jacinthhill/place.h>

struct entry;

/* The backend servers this entry daemon knows, and a placer for each model. */
struct entry_workers;

/* Where one agent is reached; a copy. */
struct worker_address {
	char instance[64];
	uint64_t id;
	struct sockaddr_in address;
	struct sockaddr_in rpc_address;
	bool same_region;
};

struct entry_workers *entry_workers_create(struct entry *e);
void entry_workers_destroy(struct entry_workers *w);

/* Takes a whole instance list over; copied. */
void entry_workers_set(
    struct entry_workers *w, const struct jh_instance *const *list, size_t n);

/* Candidates for a model, best first; 0 when no worker may take it. */
size_t entry_workers_choose(struct entry_workers *w, const char *model,
    const struct jh_place_request *r, struct jh_candidate *out, size_t max);
void entry_workers_learn(struct entry_workers *w, const char *model,
    uint64_t worker, const struct jh_place_response *a);
uint32_t entry_workers_width(
    struct entry_workers *w, const char *model, const struct jh_prefix *p);

/* What an attempt showed about an agent of a plain service. */
void entry_workers_heard(
    struct entry_workers *w, const char *instance, bool leaving);
void entry_workers_failed(struct entry_workers *w, const char *instance);

/* Whether the instance list names this as an entry daemon. */
bool entry_workers_is_entry(struct entry_workers *w, const char *instance);

bool entry_workers_find(
    struct entry_workers *w, uint64_t id, struct worker_address *out);

/*
 * Agents of a plain service in rendezvous order of the key: usable ones first,
 * then own region first. Returns an array of struct worker_address.
 */
GArray *entry_workers_of_service(
    struct entry_workers *w, const char *service, struct jh_str key);

/* The number a region has in placement requests. */
uint32_t entry_workers_region(const char *region);

/* Regions that have entry daemons; at least 1. */
unsigned int entry_workers_regions(struct entry_workers *w);

/* A region other than the own with workers of the model; 0 if there is none. */
uint32_t entry_workers_other_region(
    struct entry_workers *w, const char *model, uint64_t draw);

uint64_t entry_worker_id(const char *instance);

/* Calls fn for every listed instance of a role, under the lock. */
void entry_workers_each(struct entry_workers *w, enum jh_role role,
    void (*fn)(void *arg, const struct jh_member *member), void *arg);

#endif
