#include "soak/deployment.h"

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

json_t *
soak_config_create(unsigned int version, unsigned int more_routes)
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
