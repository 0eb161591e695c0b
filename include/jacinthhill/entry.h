#ifndef JACINTHHILL_ENTRY_H
#define JACINTHHILL_ENTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include <jacinthhill/rank.h>
#include <jacinthhill/record.h>

enum jh_entry_kind { JH_ENTRY_CHAT, JH_ENTRY_SERVICE };

/* Percentage of an entry's limits that one region may use. */
struct jh_region_share {
	char *region;
	int64_t percent;
};

/* The entry states no floor_percent; the agent's setting applies. */
#define JH_ENTRY_NO_FLOOR (-1)

/*
 * A catalogue entry: the limits and rights of one request class of an
 * organisation, from the object catalog/<owner>/<class>. Immutable and
 * reference counted.
 */
struct jh_catalog_entry {
	int refs; /* atomic */
	char *owner;
	char *class_name;
	enum jh_entry_kind kind;
	enum jh_rank rank; /* of requests that state no rank */
	enum jh_rank rank_ceiling; /* most urgent rank allowed */
	char **models; /* allowed models; services for JH_ENTRY_SERVICE */
	int64_t cost_tokens_per_second;
	int64_t concurrent_requests;
	int64_t floor_percent; /* 0 to 50, or JH_ENTRY_NO_FLOOR */
	bool idempotent;
	int64_t ttft_target_ms;
	char **shared_prompts; /* BLAKE2b of first messages, hexadecimal */
	struct jh_region_share *region_shares; /* none: equal shares */
	size_t n_region_shares;
};

/* Parses JSON; returns NULL and sets err (JH_RECORD_ERROR) on any fault. */
struct jh_catalog_entry *jh_catalog_entry_parse(
    struct jh_str text, GError **err);
struct jh_catalog_entry *jh_catalog_entry_ref(struct jh_catalog_entry *e);
void jh_catalog_entry_unref(struct jh_catalog_entry *e);

bool jh_catalog_entry_allows_model(
    const struct jh_catalog_entry *e, const char *model);
bool jh_catalog_entry_shares_prompt(
    const struct jh_catalog_entry *e, const char *hash_hex);
/* Percentage of the limits that one of n_regions regions may use. */
double jh_catalog_entry_region_percent(const struct jh_catalog_entry *e,
    const char *region, unsigned int n_regions);

#endif
