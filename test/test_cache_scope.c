#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "platform_fixture.h"
#include "route/route_table.h"

/* Which cached prefixes organisations share as their isolation changes. */

#define ORGS 5
#define SEEDS 200
#define VERSIONS 30

/* The shared scopes in which an organisation has left prefixes. */
struct traces {
	uint64_t scope[VERSIONS];
	size_t n;
};

static bool
has_left(const struct traces *t, uint64_t scope)
{
	size_t i;

	for (i = 0; i < t->n; i++)
		if (t->scope[i] == scope)
			return true;
	return false;
}

/* Organisation i exists if bit i of exists is set, and is isolated likewise. */
static struct jh_route_table *
make_table(uint64_t version, unsigned int exists, unsigned int isolated)
{
	struct jh_route_table *t = jh_route_table_create(version);
	struct jh_route_org *org;
	char name[8];
	unsigned int i;

	for (i = 0; i < ORGS; i++) {
		snprintf(name, sizeof(name), "t%u", i);
		if ((exists >> i & 1) == 0)
			continue;
		org = jh_route_table_add_org(t, name);
		if ((isolated >> i & 1) != 0)
			jh_route_table_isolate_org(t, org);
	}
	return t;
}

/* All organisations of the configuration send a request. */
static void
use_scopes(const struct jh_route_table *t, struct traces traces[ORGS])
{
	size_t i, number, other;

	for (i = 0; i < jh_route_table_org_count(t); i++) {
		const struct jh_route_org *org = jh_route_table_org_at(t, i);
		struct jh_cache_scope scope =
		    jh_route_table_cache_scope(t, org);

		number = (size_t)atoi(org->name + 1);
		if (scope.org != NULL) {
			assert_true(org->isolated);
			assert_string_equal(scope.org, org->name);
			continue;
		}
		assert_false(org->isolated);
		for (other = 0; other < ORGS; other++) {
			const struct jh_route_org *maker;
			char name[8];

			snprintf(name, sizeof(name), "t%zu", other);
			maker = jh_route_table_find_org(t, name);
			if (maker != NULL && maker->isolated)
				assert_false(
				    has_left(&traces[other], scope.hash));
		}
		traces[number].scope[traces[number].n++] = scope.hash;
	}
}

/*
 * Guards against the use of prefixes that an organisation left in the cache
 * before it became isolated, whatever the configurations in between.
 */
static void
isolated_organisation_leaves_nothing_to_others(void **state)
{
	struct traces traces[ORGS];
	struct jh_route_table *t;
	unsigned int seed, version;
	GRand *rand;

	for (seed = 1; seed <= SEEDS; seed++) {
		rand = g_rand_new_with_seed(seed);
		memset(traces, 0, sizeof(traces));
		for (version = 0; version < VERSIONS; version++) {
			t = make_table(version,
			    g_rand_int(rand) | g_rand_int(rand),
			    g_rand_int(rand) & g_rand_int(rand));
			use_scopes(t, traces);
			jh_route_table_unref(t);
		}
		g_rand_free(rand);
	}
}

/* Guards against prefixes that are computed again without need. */
static void
scope_depends_on_the_isolated_organisations_alone(void **state)
{
	struct jh_route_table *a = make_table(1, 0x1f, 0x06);
	struct jh_route_table *b = make_table(2, 0x0f, 0x06);
	struct jh_route_table *c = jh_route_table_create(3);
	uint64_t shared = jh_route_table_cache_scope(a, NULL).hash;

	jh_route_table_isolate_org(c, jh_route_table_add_org(c, "t2"));
	jh_route_table_isolate_org(c, jh_route_table_add_org(c, "t1"));
	assert_true(shared == jh_route_table_cache_scope(b, NULL).hash);
	assert_true(shared == jh_route_table_cache_scope(c, NULL).hash);
	assert_true(shared != jh_route_table_org_at(c, 0)->hash);
	jh_route_table_unref(a);
	jh_route_table_unref(b);
	jh_route_table_unref(c);
}

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *salts; /* of the requests that ran */

static void
on_ran(void *arg, struct fake_worker *w, const struct jh_head *head,
    struct jh_str body)
{
	struct jh_str salt = jh_head_get(head, "X-Jacinthhill-Cache-Salt");

	pthread_mutex_lock(&lock);
	g_ptr_array_add(salts, jh_str_dup(salt));
	pthread_mutex_unlock(&lock);
}

static unsigned int
count_salts(void)
{
	unsigned int n;

	pthread_mutex_lock(&lock);
	n = salts->len;
	pthread_mutex_unlock(&lock);
	return n;
}

static const char *
salt_at(unsigned int i)
{
	const char *salt;

	pthread_mutex_lock(&lock);
	salt = g_ptr_array_index(salts, i);
	pthread_mutex_unlock(&lock);
	return salt;
}

static const struct fake_worker_ops worker_ops = {.ran = on_ran};

static struct platform *
start_platform(unsigned int work_msec)
{
	struct platform_spec spec = {
	    .routers = 1,
	    .workers = 2,
	    .worker = {.work_msec = work_msec, .ops = &worker_ops},
	};

	salts = g_ptr_array_new_with_free_func(g_free);
	return platform_create(&spec);
}

static void
stop_platform(struct platform *p)
{
	platform_stop(p);
	g_ptr_array_free(salts, TRUE);
}

/* Writes a configuration with the organisations t1 and t2, and awaits it. */
static void
put_config(struct platform *p, int version, bool isolated)
{
	json_t *before = platform_get(p, "config", "main");
	json_t *config = json_deep_copy(before);

	json_decref(before);
	json_object_set_new(config, "version", json_integer(version));
	json_object_set_new(config, "tenants",
	    json_pack("[{s:s, s:[s], s:b}, {s:s, s:[s]}]", "name", "t1",
		"apiKeys", "k1", "isolated", (int)isolated, "name", "t2",
		"apiKeys", "k2"));
	platform_put(p, "config", "main", config);
	g_usleep(500000);
}

static void
ask(struct platform *p, const char *key)
{
	char *fields = g_strdup_printf("X-Jacinthhill-Attempt-Id: a1\r\n"
				       "X-Jacinthhill-Model: m1\r\n"
				       "X-Jacinthhill-Token-Counts: 100,10\r\n"
				       "Api-Key: %s\r\n",
	    key);

	g_free(platform_ask(p, "GET", "/again/x", fields));
	g_free(fields);
}

/*
 * Guards against the same with a real router: what it sends to the workers as
 * the salt.
 */
static void
salt_changes_when_another_organisation_is_isolated(void **state)
{
	struct platform *p = start_platform(0);

	put_config(p, 2, false);
	ask(p, "k1");
	ask(p, "k2");
	put_config(p, 3, true);
	ask(p, "k1");
	ask(p, "k2");
	assert_int_equal(count_salts(), 4);
	assert_string_equal(salt_at(0), salt_at(1));
	assert_string_equal(salt_at(2), "m1/1/t1");
	assert_string_not_equal(salt_at(3), salt_at(1));
	assert_string_not_equal(salt_at(3), salt_at(2));
	stop_platform(p);
}

static void *
ask_as_t1(void *arg)
{
	ask(arg, "k1");
	return NULL;
}

/*
 * Guards against a retry that uses shared prefixes, of a request that came
 * before its organisation was isolated.
 */
static void
retry_follows_the_configuration_in_force(void **state)
{
	struct platform *p = start_platform(1200);
	GThread *client;

	put_config(p, 2, false);
	platform_set_mode(p, 0, WORKER_RESETS);
	platform_set_mode(p, 1, WORKER_RESETS);
	client = g_thread_new("client", ask_as_t1, p);
	await(count_salts() == 1);
	put_config(p, 3, true);
	platform_set_mode(p, 0, WORKER_RESPONDS);
	platform_set_mode(p, 1, WORKER_RESPONDS);
	g_thread_join(client);
	assert_int_equal(count_salts(), 2);
	assert_string_not_equal(salt_at(0), "m1/1/t1");
	assert_string_equal(salt_at(1), "m1/1/t1");
	stop_platform(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(isolated_organisation_leaves_nothing_to_others),
	    cmocka_unit_test(scope_depends_on_the_isolated_organisations_alone),
	    cmocka_unit_test(
		salt_changes_when_another_organisation_is_isolated),
	    cmocka_unit_test(retry_follows_the_configuration_in_force),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
