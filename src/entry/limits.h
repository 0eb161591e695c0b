#ifndef ENTRY_LIMITS_H
#define ENTRY_LIMITS_H

#include <jacinthhill/quota.h>

#include "entry/entry.h"

/*
 * Applies the catalogue's limits across all entry daemons of the region: has a
 * holder for each (organisation, class) in use, a granter for those that this
 * daemon grants, and a thread that reports to the other granters each second.
 */
struct entry_limits;

/* The admission of one request under a limit. */
struct limit_admission;

struct entry_limits *entry_limits_create(struct entry *e);
void entry_limits_destroy(struct entry_limits *l);

/*
 * Admits a request of this cost in tokens. Returns NULL if the rate or
 * concurrency limit is exceeded; end the admission with entry_limits_finish().
 */
struct limit_admission *entry_limits_admit(
    struct entry_limits *l, const struct jh_catalog_entry *rule, uint64_t cost);
/* Ends an admission with its real cost and frees it; NULL is ignored. */
void entry_limits_finish(
    struct entry_limits *l, struct limit_admission *t, uint64_t cost);

/* Records the incarnation of an entry daemon that sent a message. */
void entry_limits_peer_seen(
    struct entry_limits *l, const char *instance, uint64_t incarnation);

/* Handles a call of JH_QUOTA: answers its reports with grants. */
void entry_limits_serve(struct entry_limits *l,
    const struct jh_quota_args *args, struct jh_quota_reply *reply);

/* Returns the number of limits in use. */
size_t entry_limits_len(struct entry_limits *l);

#endif
