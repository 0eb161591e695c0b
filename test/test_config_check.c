#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <glib/gstdio.h>
#include <jansson.h>

#include "platform/check.h"
#include "platform/objects.h"
#include "route/config_check.h"

/*
 * Guards against faults in a configuration that the check does not report, and
 * against reports on one that is sound.
 */

#define MEMORY ((uint64_t)88 << 20)

#define SOUND                                                                \
	"{'version':2,'routes':[{'name':'r1','host':'h','pathPrefix':'/a/'," \
	"'kind':'idempotent','timeoutMs':1000,'targetLatencyMs':100,"        \
	"'targetGapMs':200,'split':[{'service':'s1','weight':1},"            \
	"{'service':'s2','weight':3}]},{'name':'r2','host':'h',"             \
	"'pathPrefix':'/a/b/','kind':'streaming','timeoutMs':1000,"          \
	"'targetLatencyMs':100,'service':'s1'}],"                            \
	"'services':[{'name':'s1'},{'name':'s2'}],'tenants':[{'name':'t1',"  \
	"'apiKeys':['k1'],'unit':'tokens','uncachedTokens':200,"             \
	"'ratePerS':500,'burst':500},{'name':'t2','apiKeys':['k2']}],"       \
	"'limits':{'headerBytes':16384,'bodyBytes':4194304,"                 \
	"'headerTimeoutMs':3000,'idleTimeoutMs':15000}}"

/* A replacement in SOUND, and the findings on the result. */
struct change {
	const char *from, *to, *findings;
};

static const struct change checked[] = {
    {"'r2'", "'r1'", "error: route r1: the name occurs twice\n"},
    {"'t2'", "'t1'", "error: organisation t1: the name occurs twice\n"},
    {"'k2'", "'k1'",
	"error: organisation t1: organisation t2 has one of its keys too\n"},
    {"'services':[", "'services':[{'name':'s1'},",
	"error: services: 1 have the name of another one\n"},
    {"'weight':1},{'service':'s2','weight':3}", "'weight':0}",
	"error: route r1: the weights of its services sum to 0\n"},
    {"/a/b/", "/a/b",
	"error: route r2: the prefix \"/a/b\" does not end with a slash\n"},
    {"/a/b/", "/a/",
	"unreachable: route r2: route r1 comes first with the same host and "
	"prefix\n"},
    {"/a/b/", "a/", "unreachable: route r2: no path begins with \"a/\"\n"},
    {"'host':'h'", "'host':'h:80'",
	"unreachable: route r1: no request has the host \"h:80\"\n"},
    {"'service':'s2'", "'service':'s3'",
	"unreachable: route r1: service s3 does not exist\n"},
    {"'targetLatencyMs':100", "'targetLatencyMs':1001",
	"limits: route r1: the target, 1001 ms, is above the timeout, 1000 "
	"ms\n"},
    {"'targetGapMs':200", "'targetGapMs':1001",
	"limits: route r1: the time between events, 1001 ms, is above the "
	"timeout, 1000 ms\n"},
    {"'targetGapMs':200", "'attempts':0",
	"limits: route r1: no attempt is allowed\n"},
    {"'timeoutMs':1000,'targetLatencyMs':100,'targetGapMs':200",
	"'timeoutMs':0,'targetLatencyMs':0",
	"limits: route r1: the timeout is 0\n"},
    {"'burst':500", "'burst':199",
	"limits: organisation t1: the burst, 199 tokens, is below the cost of "
	"a request that does not state its tokens, 200\n"},
    {",'burst':500", "",
	"limits: organisation t1: a rate without a burst is no limit\n"},
    {"'ratePerS':500,", "",
	"limits: organisation t1: a burst without a rate is no limit\n"},
    {"4194304", "92274689",
	"limits: limits: a body of 92274689 bytes exceeds the memory of a "
	"router, 92274688 bytes\n"},
    {"'idleTimeoutMs':15000", "'idleTimeoutMs':2999",
	"limits: limits: the idle timeout, 2999 ms, is below the time for a "
	"head, 3000 ms\n"},
    {"'k1'", "'k3'", ""},
};

static const struct change compared[] = {
    {"'version':2", "'version':1",
	"error: version: 1 is not above 1, which is in force; routers will "
	"ignore it\n"},
    {"'k1'", "'k1'", ""},
    {"'name':'r1'", "'name':'r0'",
	"difference: route r0: added\ndifference: route r1: removed\n"},
    {"'timeoutMs':1000,'targetLatencyMs':100,'targetGapMs':200",
	"'timeoutMs':900,'targetLatencyMs':90",
	"difference: route r1: changed: timeout 1000 ms -> 900 ms; target 100 "
	"ms -> 90 ms; time between events 200 ms -> 0 ms\n"},
    {"'weight':3", "'weight':2",
	"difference: route r1: changed: services s1 1, s2 3 -> s1 1, s2 2\n"},
    {"{'name':'s2'}", "{'name':'s2'},{'name':'s3'}",
	"difference: service s3: added\n"},
    {"{'name':'s2'}", "{'name':'s2','engine':{'kvCapacityTokens':5}}",
	"difference: service s2: changed: engine no -> yes; cache tokens 0 -> "
	"5\n"},
    {"'ratePerS':500,'burst':500", "'ratePerS':630902,'burst':630902",
	"difference: organisation t1: changed: rate 500/s -> 630902/s; burst "
	"500 -> 630902\n"},
    {"'apiKeys':['k2']", "'apiKeys':[]",
	"difference: key d432ac1f4882e181: removed\n"},
    {"4194304", "1024",
	"difference: limits: changed: body bytes 4194304 -> 1024\n"},
};

/* Values that routers ignore, as they have the wrong type. */
static const struct change ignored[] = {
    {"'targetGapMs':200", "'targetGapMs':'200','priority':-1",
	"error: route r1: priority is not a whole number of 0 or more and is "
	"ignored\nerror: route r1: targetGapMs is not a whole number of 0 or "
	"more and is ignored\n"},
    {"'ratePerS':500", "'ratePerS':'500'",
	"error: organisation t1: ratePerS is not a number of 0 or more and is "
	"ignored\n"},
    {"16384", "1.5",
	"error: limits: headerBytes is not a whole number of 0 or more and is "
	"ignored\n"},
    {"'ratePerS':500", "'ratePerS':0.5", ""},
};

/* The configuration as JSON; free with g_free(). */
static char *
changed(const struct change *c)
{
	char *at, *text = g_strdup(SOUND), *result;

	if (c != NULL) {
		at = strstr(text, c->from);
		assert_non_null(at);
		*at = '\0';
		result = g_strconcat(text, c->to, at + strlen(c->from), NULL);
		g_free(text);
		text = result;
	}
	return g_strdelimit(text, "'", '"');
}

static struct jh_route_table *
decode(const struct change *c)
{
	char *text = changed(c);
	json_t *root = json_loads(text, 0, NULL);
	const char *reason;
	struct jh_route_table *t = plat_decode_config(root, &reason);

	assert_non_null(t);
	json_decref(root);
	g_free(text);
	return t;
}

static void
expect(GPtrArray *findings, const char *expected)
{
	GString *s = g_string_new(NULL);
	guint i;

	jh_config_findings_sort(findings);
	for (i = 0; i < findings->len; i++) {
		const struct jh_config_finding *f =
		    g_ptr_array_index(findings, i);
		g_string_append_printf(s, "%s: %s: %s\n",
		    jh_config_finding_kind_name(f->kind), f->name, f->text);
	}
	assert_string_equal(s->str, expected);
	g_string_free(s, TRUE);
	g_ptr_array_free(findings, TRUE);
}

static void
faults_are_found(void **state)
{
	struct jh_route_table *t;
	GPtrArray *findings;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(checked); i++) {
		findings = jh_config_findings_create();
		t = decode(&checked[i]);
		jh_config_check(t, MEMORY, findings);
		expect(findings, checked[i].findings);
		jh_route_table_unref(t);
	}
}

static void
ignored_values_are_found(void **state)
{
	GPtrArray *findings;
	json_t *root;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ignored); i++) {
		char *text = changed(&ignored[i]);
		findings = jh_config_findings_create();
		root = json_loads(text, 0, NULL);
		plat_find_ignored(root, findings);
		expect(findings, ignored[i].findings);
		json_decref(root);
		g_free(text);
	}
}

static void
differences_are_found(void **state)
{
	static const struct change before = {"'version':2", "'version':1", ""};
	struct jh_route_table *in_force = decode(&before), *t;
	GPtrArray *findings;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(compared); i++) {
		findings = jh_config_findings_create();
		t = decode(&compared[i]);
		jh_config_compare(in_force, t, findings);
		expect(findings, compared[i].findings);
		jh_route_table_unref(t);
	}
	jh_route_table_unref(in_force);
}

/* The exit status of the command with a file of this content. */
static int
run(const char *text, const char *in_force)
{
	char *path = NULL,
	     *argv[] = {"check", NULL, "--in-force", (char *)in_force, NULL};
	int fd = g_file_open_tmp("jh-check-XXXXXX", &path, NULL), status;

	assert_true(fd >= 0 && g_close(fd, NULL));
	assert_true(g_file_set_contents(path, text, -1, NULL));
	argv[1] = path;
	if (in_force != NULL && *in_force == '\0')
		argv[3] = path;
	status = plat_check(in_force != NULL ? 4 : 2, argv);
	(void)g_unlink(path);
	g_free(path);
	return status;
}

static void
exit_status_tells_the_result(void **state)
{
	char *sound = changed(NULL), *faulty = changed(&checked[0]);

	unsetenv("JACINTHHILL_NODE_FILE");
	assert_int_equal(run(sound, NULL), 0);
	assert_int_equal(run(faulty, NULL), 1);
	/* The same version as in force. */
	assert_int_equal(run(sound, ""), 1);
	assert_int_equal(run(sound, "/nonexistent"), 2);
	assert_int_equal(run("{", NULL), 2);
	assert_int_equal(run("{\"version\":1}", NULL), 2);
	setenv("JACINTHHILL_NODE_FILE", "/nonexistent", 1);
	assert_int_equal(run(sound, NULL), 2);
	unsetenv("JACINTHHILL_NODE_FILE");
	g_free(sound);
	g_free(faulty);
}

static const struct CMUnitTest tests[] = {
    cmocka_unit_test(faults_are_found),
    cmocka_unit_test(ignored_values_are_found),
    cmocka_unit_test(differences_are_found),
    cmocka_unit_test(exit_status_tells_the_result),
};

int
main(void)
{
	return cmocka_run_group_tests(tests, NULL, NULL);
}
