#ifndef ENTRY_LIMITS_H
#define ENTRY_LIMITS_H

#include <jacinthhill/quota.h>

#include "entry/entry.h"

/*
 * The catalogue's limits over all entry daemons of the region: a holder for
 * each (organisation, class) in use, a granter for those that fall to this
 * daemon, and a thread that reports to the other granters each second.
 */
struct entry_limits;

/* A request admitted under a limit. */
struct limit_ticket;

struct entry_limits *entry_limits_create(struct entry *e);
void entry_limits_destroy(struct entry_limits *l);

/* Admits a request of this cost in tokens; NULL when a limit is exceeded. */
struct limit_ticket *entry_limits_take(
    struct entry_limits *l, const struct jh_catalog_entry *rule, uint64_t cost);
/* Ends an admitted request with its real cost; NULL is ignored. */
void entry_limits_done(
    struct entry_limits *l, struct limit_ticket *t, uint64_t cost);

/* A peer's process was heard of. */
void entry_limits_heard(
    struct entry_limits *l, const char *instance, uint64_t incarnation);

/* Serves JH_QUOTA. */
void entry_limits_serve(struct entry_limits *l,
    const struct jh_quota_args *args, struct jh_quota_reply *reply);

/* Limits in use, for the state dump. */
size_t entry_limits_len(struct entry_limits *l);

#endif
