#ifndef ROUTE_CONFIG_CHECK_H
#define ROUTE_CONFIG_CHECK_H

#include <stdint.h>

#include <glib.h>

#include "route/route_table.h"

/*
 * Findings on a version of the routing configuration, for operators to read
 * before they put it in force. No I/O. API keys are secret: they are named by a
 * hash.
 */

/* In the order in which findings are sorted. */
enum jh_config_finding_kind {
	JH_CONFIG_ERROR, /* not what can have been meant */
	JH_CONFIG_UNREACHABLE, /* an entry that can never match or be served */
	JH_CONFIG_LIMITS, /* limits that contradict each other */
	JH_CONFIG_DIFFERENCE /* from the version in force */
};

struct jh_config_finding {
	enum jh_config_finding_kind kind;
	char *name; /* of the entry, such as "route r1" */
	char *text;
};

/* An empty list of struct jh_config_finding, which owns them. */
GPtrArray *jh_config_findings_create(void);
/* Takes over the name. */
void jh_config_add_finding(GPtrArray *out, enum jh_config_finding_kind kind,
    char *name, const char *format, ...) G_GNUC_PRINTF(4, 5);
/* Sorts by kind, name and text. */
void jh_config_findings_sort(GPtrArray *findings);
/* "error", "unreachable", "limits" or "difference". */
const char *jh_config_finding_kind_name(enum jh_config_finding_kind kind);

/* Checks the table by itself. memory: bytes of a router. */
void jh_config_check(
    const struct jh_route_table *t, uint64_t memory, GPtrArray *out);
/* Adds the differences, and an error if the version does not rise. */
void jh_config_compare(const struct jh_route_table *in_force,
    const struct jh_route_table *t, GPtrArray *out);

#endif
