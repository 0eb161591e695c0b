#ifndef JACINTHHILL_MEMBERS_H
#define JACINTHHILL_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

/*
 * A process's view of the instances: the lagging instance list, overlaid by
 * fresher facts from the instances' own answers and from connection failures.
 * Pure and not thread safe; times are jh_now() microseconds.
 */
struct jh_members;

enum jh_role { JH_ROLE_ENTRY, JH_ROLE_AGENT };

/* One instance as the list or an answer states it. */
struct jh_instance {
	char *id;
	enum jh_role role;
	struct sockaddr_in address; /* HTTP */
	struct sockaddr_in rpc_address;
	char *zone; /* availability zone */
	char *region;
	uint64_t incarnation; /* 0: the list does not tell */
	char **models; /* agents of language workers; NULL-ended */
	char *service; /* agents of plain services; NULL otherwise */
	bool leaving;
};

/* The view of one instance. */
struct jh_member {
	struct jh_instance instance; /* leaving: from either source */
	uint64_t held_until; /* gets no work before; 0: none */
	unsigned int failures; /* in a row */
};

struct jh_members *jh_members_create(void);
void jh_members_destroy(struct jh_members *m);

/*
 * Takes a whole instance list over (copied). What an instance itself said of
 * its present incarnation outlives the list's older statement; an instance
 * that is gone from the list is forgotten. An empty list is ignored once there
 * are members: it can only be a fault of the list. Returns whether
 * jh_members_generation() rose.
 */
bool jh_members_set_list(
    struct jh_members *m, const struct jh_instance *const *list, size_t n);

/*
 * An answer came: clears failures; a new incarnation clears leaving. Answers
 * of the incarnation before the present one are late and ignored.
 */
void jh_members_heard(
    struct jh_members *m, const char *id, uint64_t incarnation, bool leaving);
/*
 * A connection to this incarnation failed (0: whichever). Holds the instance
 * out for 0.5 s, doubled up to 30 s with each failure after a hold-out.
 */
void jh_members_failed(
    struct jh_members *m, const char *id, uint64_t incarnation, uint64_t now);

/* NULL when unknown; valid until the next change. */
const struct jh_member *jh_members_find(
    const struct jh_members *m, const char *id);
/* Neither leaving nor held out. */
bool jh_member_usable(const struct jh_member *m, uint64_t now);

/* Selects members by role, and by zone, region, model and service unless NULL.
 */
struct jh_member_filter {
	enum jh_role role;
	const char *zone;
	const char *region;
	const char *model;
	const char *service;
};

/* Calls fn for each member that matches, usable or not, in order of id. */
void jh_members_each(const struct jh_members *m,
    const struct jh_member_filter *filter,
    void (*fn)(void *arg, const struct jh_member *member), void *arg);
size_t jh_members_count_usable(const struct jh_members *m,
    const struct jh_member_filter *filter, uint64_t now);

/*
 * Rises when an instance joins, goes, starts leaving, restarts or changes
 * address or models; hold-outs do not count. Caches of orders compare it.
 */
uint64_t jh_members_generation(const struct jh_members *m);

/*
 * Reads the instance list's JSON (docs/membership.md). Returns an array of
 * struct jh_instance * that owns its elements, or NULL if it is no JSON array;
 * elements that are malformed are left out and counted in *faults.
 */
GPtrArray *jh_instances_parse(struct jh_str text, unsigned int *faults);
void jh_instance_free(struct jh_instance *i);
struct jh_instance *jh_instance_copy(const struct jh_instance *i);

#endif
