#ifndef JACINTHHILL_ORG_H
#define JACINTHHILL_ORG_H

#include <stdbool.h>

#include <jacinthhill/record.h>

/*
 * An organisation, from the object orgs/<name>. Immutable and reference
 * counted.
 */
struct jh_org {
	int refs; /* atomic */
	char *name;
	char *display_name;
	bool disabled; /* requests are refused as unauthorized */
	char **key_hashes; /* of API keys, as jh_auth_hash_hex() makes them */
};

/* Parses JSON; returns NULL and sets err (JH_RECORD_ERROR) on any fault. */
struct jh_org *jh_org_parse(struct jh_str text, GError **err);
struct jh_org *jh_org_ref(struct jh_org *o);
void jh_org_unref(struct jh_org *o);

#endif
