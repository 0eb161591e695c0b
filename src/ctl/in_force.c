#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <jacinthhill/clock.h>

#include "base/thread.h"
#include "ctl/in_force.h"
#include "ctl/instances.h"
#include "rpc/server.h"

/* Instances that are queried at the same time. */
#define QUERY_THREADS 32
#define POLL_INTERVAL_USEC (250 * JH_USEC_PER_MSEC)

/* The dump section with the revision of the catalogue and its confirmed age. */
#define CATALOGUE_SECTION "catalogue"

/* The state of one instance's copy of the catalogue at its last query. */
struct instance_state {
	const struct jh_instance *instance;
	json_int_t revision; /* -1: no response */
	json_int_t age_ms; /* since the store confirmed the copy; -1: never */
	uint64_t queried_at;
	bool in_force;
};

struct poll {
	int next; /* atomic: the next instance to query */
	struct ctl *ctl;
	uint64_t revision;
	uint64_t started_at; /* the store accepted the revision before */
	struct instance_state *states;
	guint n;
};

static json_t *
fetch_dump(const struct ctl *c, const struct jh_instance *i)
{
	char section[] = CATALOGUE_SECTION;
	struct jh_dump_args args = {section};
	struct jh_text_reply reply = {0};
	json_t *root;

	if (!jh_rpc_call(&i->rpc_address, &c->settings.secret, JH_DUMP, &args,
		&reply, ctl_deadline(c), NULL))
		return NULL;
	root = json_loads(reply.text, 0, NULL);
	jh_rpc_reply_clear(JH_DUMP, &reply);
	return root;
}

/*
 * A copy has every edit up to its revision, and every edit that was accepted
 * before the store last confirmed the copy. Its revision alone may rise late,
 * because the store's revision rises with objects of other kinds as well.
 */
static bool
is_in_force(const struct poll *p, const struct instance_state *s)
{
	/* The age is rounded down to milliseconds. */
	uint64_t age = (uint64_t)(s->age_ms + 1) * JH_USEC_PER_MSEC;

	if (s->revision < 0)
		return false;
	if ((uint64_t)s->revision >= p->revision)
		return true;
	return s->age_ms >= 0 && s->queried_at >= p->started_at + age;
}

static void
query_instance(struct poll *p, struct instance_state *s)
{
	json_t *root, *o;

	s->queried_at = jh_now();
	s->revision = -1;
	s->age_ms = -1;
	root = fetch_dump(p->ctl, s->instance);
	o = json_object_get(root, CATALOGUE_SECTION);
	if (json_is_integer(json_object_get(o, "revision"))) {
		s->revision =
		    json_integer_value(json_object_get(o, "revision"));
		s->age_ms =
		    json_integer_value(json_object_get(o, "confirmed_age_ms"));
	}
	s->in_force = is_in_force(p, s);
	json_decref(root);
}

/* A thread that queries instances until the threads have covered all. */
static void *
query_main(void *arg)
{
	struct poll *p = arg;
	guint i;

	while ((i = (guint)g_atomic_int_add(&p->next, 1)) < p->n) {
		if (!p->states[i].in_force)
			query_instance(p, &p->states[i]);
	}
	return NULL;
}

/* Queries the instances that are behind; returns how many still are. */
static guint
query_round(struct poll *p)
{
	pthread_t threads[QUERY_THREADS];
	guint i, n = MIN(QUERY_THREADS, p->n), n_behind = 0;

	p->next = 0;
	for (i = 0; i < n; i++)
		threads[i] = jh_thread_create("query", query_main, p);
	for (i = 0; i < n; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < p->n; i++)
		n_behind += !p->states[i].in_force;
	return n_behind;
}

static const char *
state_name(const struct instance_state *s)
{
	if (s->in_force)
		return "in_force";
	return s->revision < 0 ? "no_answer" : "behind";
}

static void
print_table(const struct poll *p, guint n_behind)
{
	FILE *out = p->ctl->out;
	const struct instance_state *s;
	guint i;

	for (i = 0; i < p->n; i++) {
		s = &p->states[i];
		fprintf(out, "%-20s %-10s %10lld %8lld ms  %s\n",
		    s->instance->id, s->instance->zone, (long long)s->revision,
		    (long long)s->age_ms, state_name(s));
	}
	fprintf(out,
	    "revision %" G_GUINT64_FORMAT " is in force on %u of %u live "
	    "instances\n",
	    p->revision, p->n - n_behind, p->n);
}

static void
print_json(const struct poll *p, guint n_behind)
{
	json_t *list = json_array(), *root;
	const struct instance_state *s;
	char *text;
	guint i;

	for (i = 0; i < p->n; i++) {
		s = &p->states[i];
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:I, s:I, s:s}", "instance",
			s->instance->id, "availability_zone", s->instance->zone,
			"revision", s->revision, "confirmed_age_ms", s->age_ms,
			"state", state_name(s)));
	}
	root = json_pack("{s:I, s:b, s:o}", "revision", (json_int_t)p->revision,
	    "in_force", n_behind == 0, "instances", list);
	text = json_dumps(root, JSON_COMPACT);
	fprintf(p->ctl->out, "%s\n", text);
	free(text);
	json_decref(root);
}

static int
poll_instances(struct poll *p, const GPtrArray *list, int wait_ms)
{
	uint64_t deadline =
	    p->started_at + (uint64_t)wait_ms * JH_USEC_PER_MSEC;
	const struct jh_instance *instance;
	guint i, n_behind;

	p->states = g_new0(struct instance_state, list->len);
	for (i = 0; i < list->len; i++) {
		instance = list->pdata[i];
		if (!instance->leaving)
			p->states[p->n++].instance = instance;
	}
	while ((n_behind = query_round(p)) > 0 && jh_now() < deadline)
		g_usleep(POLL_INTERVAL_USEC);
	if (p->ctl->json)
		print_json(p, n_behind);
	else
		print_table(p, n_behind);
	g_free(p->states);
	return n_behind == 0 && p->n > 0 ? CTL_OK : CTL_FAILED;
}

int
ctl_in_force(struct ctl *c, uint64_t revision, int wait_ms)
{
	struct poll p = {
	    .ctl = c, .revision = revision, .started_at = jh_now()};
	int status = CTL_OK;
	GPtrArray *list = ctl_read_instances(c, &status);

	if (list == NULL)
		return status;
	status = poll_instances(&p, list, wait_ms);
	g_ptr_array_free(list, TRUE);
	return status;
}

/* Stores the revision in text, or the store's present one, in *revision. */
static int
find_revision(struct ctl *c, const char *text, uint64_t *revision)
{
	int status = ctl_store_revision(c, revision);
	guint64 n;

	if (status != CTL_CONTINUE || text == NULL)
		return status;
	if (!g_ascii_string_to_unsigned(text, 10, 1, *revision, &n, NULL)) {
		fprintf(c->err,
		    "\"%s\" is not a revision of the store, whose latest is "
		    "%" G_GUINT64_FORMAT "\n",
		    text, *revision);
		return CTL_USAGE;
	}
	*revision = n;
	return CTL_CONTINUE;
}

static int
run_in_force(struct ctl *c, const struct ctl_command *self, char **args)
{
	int wait_ms = CTL_IN_FORCE_TIMEOUT_MS;
	const GOptionEntry extra[] = {
	    {"wait-ms", 'w', 0, G_OPTION_ARG_INT, &wait_ms,
		"Poll for this long (default 8,000; 0: query once)", "N"},
	    G_OPTION_ENTRY_NULL};
	int status = ctl_parse_options(c, self, extra, &args, 0, 1);
	uint64_t revision = 0;

	if (status == CTL_CONTINUE && wait_ms < 0)
		status = CTL_USAGE;
	if (status == CTL_CONTINUE)
		status = ctl_open_store(c);
	if (status == CTL_CONTINUE)
		status = find_revision(c, args[0], &revision);
	if (status == CTL_CONTINUE)
		status = ctl_in_force(c, revision, wait_ms);
	g_strfreev(args);
	return status;
}

const struct ctl_command ctl_in_force_commands[] = {
    {"in-force", "[REVISION]", "Show which instances have all edits",
	run_in_force},
    {0}};
