#include <string.h>

#include "base/auth.h"
#include "entry/request_auth.h"

static const char bearer[] = "Bearer ";

static bool
find_org(struct entry *e, struct jh_http_req *req, struct request_auth *c)
{
	const char *value = jh_http_req_header(req, "Authorization");
	const char *claimed = jh_http_req_header(req, "X-Organisation");
	char hash[JH_AUTH_HASH_HEX_LEN + 1];

	if (value == NULL || !g_str_has_prefix(value, bearer)) {
		entry_reply_error(
		    req, ENTRY_ERR_UNAUTHORIZED, ENTRY_NOT_RUN, NULL);
		return false;
	}
	jh_auth_hash_hex(jh_str_from(value + strlen(bearer)), hash);
	c->org = jh_catalog_find_org_by_key(e->catalog, hash);
	if (c->org == NULL || c->org->disabled) {
		entry_reply_error(
		    req, ENTRY_ERR_UNAUTHORIZED, ENTRY_NOT_RUN, NULL);
		return false;
	}
	if (claimed != NULL && strcmp(claimed, c->org->name) != 0) {
		entry_reply_error(
		    req, ENTRY_ERR_WRONG_ORGANISATION, ENTRY_NOT_RUN, NULL);
		return false;
	}
	return true;
}

/* Takes the rank from X-Rank, within what the catalogue entry allows. */
static bool
find_rank(struct jh_http_req *req, struct request_auth *c)
{
	const char *requested = jh_http_req_header(req, "X-Rank");

	c->rank = c->rule->rank;
	if (requested == NULL)
		return true;
	if (strcmp(requested, "urgent") == 0)
		c->rank = JH_RANK_URGENT;
	else if (strcmp(requested, "background") == 0)
		c->rank = JH_RANK_BACKGROUND;
	else
		return false;
	/* A lower value is more urgent. */
	if (c->rank < c->rule->rank_ceiling)
		c->rank = c->rule->rank_ceiling;
	return true;
}

/* Replaces organisation and rule; takes both references. */
static void
request_auth_replace(
    struct request_auth *c, struct jh_org *org, struct jh_catalog_entry *rule)
{
	jh_org_unref(c->org);
	jh_catalog_entry_unref(c->rule);
	c->org = org;
	c->rule = rule;
	if (c->rank < rule->rank_ceiling)
		c->rank = rule->rank_ceiling;
}

bool
request_auth_identify(struct entry *e, struct jh_http_req *req,
    const char *default_class, enum jh_entry_kind kind,
    struct request_auth *out)
{
	const char *class_name = jh_http_req_header(req, "X-Class");

	memset(out, 0, sizeof(*out));
	if (!find_org(e, req, out))
		return false;
	out->rule = jh_catalog_find_entry(e->catalog, out->org->name,
	    class_name == NULL ? default_class : class_name);
	if (out->rule == NULL || out->rule->kind != kind) {
		entry_reply_error(
		    req, ENTRY_ERR_CLASS_NOT_ALLOWED, ENTRY_NOT_RUN, NULL);
		return false;
	}
	if (!find_rank(req, out)) {
		entry_reply_error(req, ENTRY_ERR_BAD_REQUEST, ENTRY_NOT_RUN,
		    "X-Rank must be urgent or background.");
		return false;
	}
	return true;
}

bool
request_auth_refresh(
    struct entry *e, struct request_auth *c, enum entry_error *why)
{
	struct jh_org *org = jh_catalog_find_org(e->catalog, c->org->name);
	struct jh_catalog_entry *rule = NULL;

	*why = ENTRY_ERR_UNAUTHORIZED;
	if (org != NULL && !org->disabled) {
		*why = ENTRY_ERR_CLASS_NOT_ALLOWED;
		rule = jh_catalog_find_entry(
		    e->catalog, org->name, c->rule->class_name);
	}
	if (rule == NULL || rule->kind != c->rule->kind) {
		if (rule != NULL)
			jh_catalog_entry_unref(rule);
		if (org != NULL)
			jh_org_unref(org);
		return false;
	}
	request_auth_replace(c, org, rule);
	return true;
}

void
request_auth_clear(struct request_auth *c)
{
	if (c->rule != NULL)
		jh_catalog_entry_unref(c->rule);
	if (c->org != NULL)
		jh_org_unref(c->org);
	memset(c, 0, sizeof(*c));
}

const char *
request_rank_name(enum jh_rank rank)
{
	return rank == JH_RANK_URGENT ? "urgent" : "background";
}
