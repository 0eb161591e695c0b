#ifndef JACINTHHILL_MEMBERS_H
#define JACINTHHILL_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <netinet/in.h>

#include <jacinthhill/str.h>

/*
 * A process's view of the instances, from three sources: the instance list,
 * which lags, the replies of the instances themselves, and connection failures.
 * Does no I/O and is not thread safe; times are jh_now() microseconds.
 */
struct jh_members;

enum jh_role { JH_ROLE_ENTRY, JH_ROLE_AGENT };

/* One instance as the list or a reply describes it. */
struct jh_instance {
	char *id;
	enum jh_role role;
	struct sockaddr_in address; /* HTTP */
	struct sockaddr_in rpc_address;
	char *zone; /* availability zone */
	char *region;
	uint64_t incarnation; /* 0: unknown */
	char **models; /* of language-model workers; NULL-terminated */
	char *service; /* of agents of other services; else NULL */
	bool leaving;
};

/* What is known of one instance. */
struct jh_member {
	/* leaving is set if the list or a reply of the instance says so. */
	struct jh_instance instance;
	uint64_t backoff_until; /* gets no requests until then; 0: none */
	unsigned int failures; /* in a row */
};

struct jh_members *jh_members_create(void);
void jh_members_destroy(struct jh_members *m);

/*
 * Applies a whole instance list, which is copied. What an instance itself
 * reported of its present incarnation takes precedence over the list; an
 * instance that is no longer listed is removed. An empty list is ignored once
 * there are members, because it can only be a fault of the list. Returns
 * whether jh_members_generation() rose.
 */
bool jh_members_set_list(
    struct jh_members *m, const struct jh_instance *const *list, size_t n);

/*
 * Records a reply of an instance, which clears its failures; a new incarnation
 * clears leaving. A reply of the incarnation before the present one is late and
 * is ignored.
 */
void jh_members_replied(
    struct jh_members *m, const char *id, uint64_t incarnation, bool leaving);
/*
 * Records a failed connection to this incarnation (0: any). The instance gets
 * no requests for a backoff of 0.5 s, which doubles up to 30 s with each
 * failure after the last backoff has ended.
 */
void jh_members_failed(
    struct jh_members *m, const char *id, uint64_t incarnation, uint64_t now);

/* Returns NULL if the id is unknown; valid until the next change. */
const struct jh_member *jh_members_find(
    const struct jh_members *m, const char *id);
/* Whether the instance is neither leaving nor in backoff. */
bool jh_member_usable(const struct jh_member *m, uint64_t now);

/* Selects members by role and by those other members that are not NULL. */
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
 * A counter that rises when an instance joins, is removed, starts leaving,
 * restarts or changes its address or models, but not with a backoff. Callers
 * that cache an order of members compare it.
 */
uint64_t jh_members_generation(const struct jh_members *m);

/*
 * Parses the instance list's JSON (docs/membership.md). Returns an array of
 * struct jh_instance * that owns its elements, or NULL if the text is no JSON
 * array. Malformed elements are left out and counted in *malformed.
 */
GPtrArray *jh_instances_parse(struct jh_str text, unsigned int *malformed);
void jh_instance_free(struct jh_instance *i);
struct jh_instance *jh_instance_copy(const struct jh_instance *i);

#endif
