#ifndef ENTRY_LIMIT_H
#define ENTRY_LIMIT_H

#include <glib.h>

#include <jacinthhill/quota.h>

#include "rpc/control.h"

/*
 * This daemon's part in the limit of one (organisation, class). Not
 * thread-safe.
 */
struct limit {
	char *key; /* organisation/class */
	char *org;
	char *class_name;
	struct jh_quota_limit amount; /* the region's share */
	struct jh_quota_holder *holder;
	struct jh_quota_granter *granter; /* NULL: in another daemon */
	uint64_t running;
	uint64_t idle_deadline; /* freed then, unless requests run */
	char *granter_instance; /* NULL: not known, or this daemon */
};

struct limit *limit_create(const char *org, const char *class_name,
    uint64_t holder, uint64_t now, const struct jh_quota_limit *amount);
void limit_free(void *l);

void limit_set_amount(
    struct limit *l, uint64_t now, const struct jh_quota_limit *amount);

void limit_report_to_wire(const struct jh_quota_report *r, const char *key,
    struct jh_wire_report *out);
struct jh_quota_report limit_report_from_wire(
    const struct jh_wire_report *w, uint64_t holder, uint64_t granter);

#endif
