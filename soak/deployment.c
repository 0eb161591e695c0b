#include "soak/deployment.h"

/*
 * Requests of organisations with quotas come in turns of busy and calm times.
 * One in so many requests is theirs; all together are some 400 a second.
 */
#define CYCLE_USEC (6 * JH_USEC_PER_SEC)
#define BUSY_USEC (3 * JH_USEC_PER_SEC)
#define BUSY_INTERVAL 2
#define CALM_INTERVAL 12
/* Between their rates in calm and in busy times. */
#define QUOTA_REQUESTS_PER_SEC 25
#define AMPLE_REQUESTS_PER_SEC 1000
/*
 * Sizes of prompts, as parts of the mean: some are six times as large, which is
 * the ratio of the deployments.
 */
#define LARGE_INTERVAL 11
#define LARGE_FACTOR 6

static const struct route {
	const char *name, *prefix, *kind, *service;
	int resumable, open;
	int parity; /* versions with this route: 0 even, 1 odd, -1 all */
} routes[] = {
    {"once", "/once/", "non_idempotent", "app", 0, 0, -1},
    {"again", "/again/", "idempotent", "app", 0, 0, -1},
    {"public", "/public/", "idempotent", "app", 0, 1, -1},
    {"stream", "/stream/", "streaming", "llm", 1, 0, -1},
    {"odd", "/odd/", "idempotent", "app", 0, 0, 1},
    {"even", "/even/", "idempotent", "app", 0, 0, 0},
};

static json_t *
create_route(const struct route *r)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:b, "
			 "s:b, s:b, s:i}",
	    "name", r->name, "host", "h.example", "pathPrefix", r->prefix,
	    "kind", r->kind, "timeoutMs", SOAK_TIMEOUT_MSEC, "targetLatencyMs",
	    500, "service", r->service, "attempts", 3, "public", r->open,
	    "resumable", r->resumable, "sticky", r->resumable, "targetGapMs",
	    400);
}

static void
append_unused_routes(json_t *list, unsigned int n)
{
	struct route r = {.kind = "idempotent", .service = "app"};
	char name[32], prefix[32];
	unsigned int i;

	r.name = name;
	r.prefix = prefix;
	for (i = 0; i < n; i++) {
		g_snprintf(name, sizeof(name), "unused%u", i);
		g_snprintf(prefix, sizeof(prefix), "/unused%u/", i);
		json_array_append_new(list, create_route(&r));
	}
}

static json_t *
create_quota_org(const struct soak_quota *q)
{
	char *key = g_strconcat("k", q->org, NULL);
	json_t *org = json_pack("{s:s, s:[s], s:f, s:f}", "name", q->org,
	    "apiKeys", key, "ratePerS", q->per_second, "burst", q->burst);

	if (q->mean_cost > 1)
		json_object_update_new(
		    org, json_pack("{s:s, s:i}", "unit", "tokens",
			     "uncachedTokens", SOAK_CALL_TOKENS));
	g_free(key);
	return org;
}

json_t *
soak_config_create(unsigned int version, unsigned int more_routes,
    const struct soak_quota *quotas, unsigned int n_quotas)
{
	json_t *list = json_array(), *orgs = json_array();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		const struct route *r = &routes[i];
		if (r->parity < 0 || (unsigned int)r->parity == version % 2)
			json_array_append_new(list, create_route(r));
	}
	append_unused_routes(list, more_routes);
	json_array_append_new(
	    orgs, json_pack("{s:s, s:[s]}", "name", "t1", "apiKeys", "k1"));
	json_array_append_new(orgs, json_pack("{s:s, s:[s], s:b}", "name", "t3",
					"apiKeys", "kw", "isolated", 1));
	for (i = 0; i < n_quotas; i++)
		json_array_append_new(orgs, create_quota_org(&quotas[i]));
	if (version % 2 == 1)
		json_array_append_new(orgs,
		    json_pack("{s:s, s:[s]}", "name", "t2", "apiKeys", "k2"));
	return json_pack("{s:i, s:o, s:[{s:s, s:{s:i, s:i}}, {s:s}], "
			 "s:{s:i, s:i, s:i}, s:o}",
	    "version", (int)version, "routes", list, "services", "name", "llm",
	    "engine", "slots", 8, "kvCapacityTokens", 80000, "name", "app",
	    "limits", "headerBytes", 16384, "bodyBytes", 65536, "idleTimeoutMs",
	    SOAK_IDLE_MSEC, "tenants", orgs);
}

struct soak_template
soak_template_draw(GRand *rand)
{
	static const struct {
		int weight;
		struct soak_template template;
	} templates[] = {
	    {30, {"POST", "/once/", "k1", "t1", "", SOAK_NON_IDEMPOTENT, true,
		     -1}},
	    {20, {"GET", "/again/", "kw", "t3", "", SOAK_IDEMPOTENT, true, -1}},
	    {15, {"POST", "/stream/", "k1", "t1", "m1", SOAK_STREAMING, true,
		     -1}},
	    {10, {"POST", "/stream/", "kw", "t3", "m1", SOAK_STREAMING, true,
		     -1}},
	    {5, {"GET", "/public/", "", "", "", SOAK_IDEMPOTENT, true, -1}},
	    {5, {"GET", "/odd/", "k1", "t1", "", SOAK_IDEMPOTENT, true, 1}},
	    {5, {"GET", "/even/", "k1", "t1", "", SOAK_IDEMPOTENT, true, 0}},
	    {5, {"POST", "/once/", "k2", "t2", "", SOAK_NON_IDEMPOTENT, true,
		    1}},
	    {2, {"GET", "/again/", "k9", "", "", SOAK_IDEMPOTENT, false, -1}},
	    {2, {"GET", "/nowhere/", "k1", "t1", "", SOAK_IDEMPOTENT, false,
		    -1}},
	};
	int total = 0, at;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(templates); i++)
		total += templates[i].weight;
	at = g_rand_int_range(rand, 0, total);
	for (i = 0; at >= templates[i].weight; i++)
		at -= templates[i].weight;
	return templates[i].template;
}

void
soak_quotas_get(bool lowered, struct soak_quota out[SOAK_QUOTAS])
{
	static const double mean[SOAK_QUOTAS] = {
	    SOAK_PROMPT_TOKENS + SOAK_OUTPUT_TOKENS, SOAK_CALL_TOKENS, 1};
	static const char *const names[SOAK_QUOTAS] = {"q1", "q2", "q3"};
	unsigned int i;

	for (i = 0; i < SOAK_QUOTAS; i++) {
		double rate =
		    i < 2 ? QUOTA_REQUESTS_PER_SEC : AMPLE_REQUESTS_PER_SEC;
		if (i == 0 && lowered)
			rate /= 2;
		out[i] = (struct soak_quota){.org = names[i],
		    .per_second = rate * mean[i],
		    .burst = rate * mean[i],
		    .mean_cost = mean[i]};
	}
}

bool
soak_quota_template_draw(
    GRand *rand, uint64_t since_start, struct soak_template *out)
{
	static const struct soak_template templates[SOAK_QUOTAS] = {
	    {"POST", "/stream/", "kq1", "q1", "m1", SOAK_STREAMING, true, -1},
	    {"GET", "/again/", "kq2", "q2", "", SOAK_IDEMPOTENT, true, -1},
	    {"POST", "/once/", "kq3", "q3", "", SOAK_NON_IDEMPOTENT, true, -1},
	};
	bool busy = since_start % CYCLE_USEC < BUSY_USEC;

	if (g_rand_int_range(rand, 0, busy ? BUSY_INTERVAL : CALM_INTERVAL) !=
	    0)
		return false;
	*out = templates[g_rand_int_range(rand, 0, SOAK_QUOTAS)];
	return true;
}

unsigned int
soak_prompt_tokens_draw(GRand *rand)
{
	if (g_rand_int_range(rand, 0, LARGE_INTERVAL) == 0)
		return SOAK_PROMPT_TOKENS * LARGE_FACTOR;
	return SOAK_PROMPT_TOKENS / 2;
}
